#include "papayastep/net/platformanswers.h"

#include "papayastep/base/error.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace papayastep::net {

namespace {

constexpr std::size_t maxFiles = 10'000;

[[noreturn]] void refuse(const std::string &detail)
{
    throw base::Error(base::ResultCode::PlatformAnswerInvalid, detail);
}

/// The JSON library converts -1 to the greatest revision and truncates port 70000 to 4464. A node that accepted such a
/// revision would refuse every real one after it, so only integers that fit the type are accepted.
template<typename Number>
Number parseInteger(const nlohmann::json &json, const char *field)
{
    const auto &value = json.at(field);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::numeric_limits<Number>::max()) {
        refuse(std::string(field) + " is not an integer in its range");
    }
    return value.get<Number>();
}

/// Returns an array and refuses anything else, since the JSON library also iterates over the members of an object.
const nlohmann::json &arrayAt(const nlohmann::json &json, const char *field)
{
    const auto &value = json.at(field);
    if (!value.is_array()) {
        refuse(std::string(field) + " is not an array");
    }
    return value;
}

/// The address parser stops at a NUL byte, and the text after it would get into URLs and logs.
bool isIpAddress(const std::string &text)
{
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    return !error && text.find('\0') == std::string::npos;
}

/// File names appear in URLs and log lines, and determine the order in which the files are merged.
bool isPlainName(const std::string &name)
{
    return !name.empty() && name.size() <= 200 && name != "." && name != ".."
        && std::all_of(name.begin(), name.end(), [](unsigned char c) {
               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
           });
}

config::VmEntry parseVm(const nlohmann::json &json)
{
    config::VmEntry vm;
    vm.id = base::VmId(json.at("id").get<std::string>());
    vm.zone = base::ZoneId(json.at("zone").get<std::string>());
    vm.address = json.at("address").get<std::string>();
    vm.callerPort = parseInteger<std::uint16_t>(json, "callerPort");
    vm.hopPort = parseInteger<std::uint16_t>(json, "hopPort");
    vm.peerPort = parseInteger<std::uint16_t>(json, "peerPort");
    vm.adminPort = parseInteger<std::uint16_t>(json, "adminPort");
    vm.leaving = json.value("leaving", false);
    if (!isIpAddress(vm.address) || vm.id.empty() || vm.zone.empty()) {
        refuse("a VM must have an id, an availability zone and an IP address");
    }
    return vm;
}

}

PublishedIndex parsePublishedIndex(const std::string &json)
{
    PublishedIndex index;
    try {
        const auto document = nlohmann::json::parse(json);
        index.revision = parseInteger<base::Revision>(document, "revision");
        std::set<std::string> names;
        for (const auto &entry : arrayAt(document, "files")) {
            PublishedFile file;
            file.name = entry.at("name").get<std::string>();
            file.digest = entry.at("digest").get<std::string>();
            file.bytes = parseInteger<std::uint64_t>(entry, "bytes");
            if (!isPlainName(file.name) || !isPlainName(file.digest) || !names.insert(file.name).second) {
                refuse("a file name or digest is invalid or listed twice");
            }
            index.files.push_back(std::move(file));
        }
    } catch (const nlohmann::json::exception &error) {
        refuse(error.what());
    }
    if (index.revision == 0 || index.files.size() > maxFiles) {
        refuse("the index must have a revision above 0 and at most 10,000 files");
    }
    return index;
}

config::VmList parseVmList(const std::string &json)
{
    config::VmList list;
    try {
        const auto document = nlohmann::json::parse(json);
        list.version = parseInteger<std::uint64_t>(document, "version");
        for (const auto &entry : arrayAt(document, "vms")) {
            list.vms.push_back(parseVm(entry));
        }
    } catch (const nlohmann::json::exception &error) {
        refuse(error.what());
    }
    std::sort(list.vms.begin(), list.vms.end());
    const auto sameId = [](const config::VmEntry &a, const config::VmEntry &b) { return a.id == b.id; };
    if (std::adjacent_find(list.vms.begin(), list.vms.end(), sameId) != list.vms.end()) {
        refuse("a VM is listed twice");
    }
    return list;
}

}

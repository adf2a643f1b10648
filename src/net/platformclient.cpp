#include "papayastep/net/platformclient.h"

#include "papayastep/base/error.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <set>

namespace papayastep::net {

namespace {

constexpr std::size_t maxAnswerBytes = 2 * config::maxFileBytes;
constexpr std::size_t maxFiles = 10'000;
constexpr std::chrono::seconds answerTimeout(3);

[[noreturn]] void refuse(const std::string &detail)
{
    throw base::Error(base::ResultCode::PlatformAnswerInvalid, detail);
}

/// File names travel in URLs and in log lines, and decide the order of the merge.
bool isPlainName(const std::string &name)
{
    return !name.empty() && name.size() <= 200 && std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

config::VmEntry parseVm(const nlohmann::json &json)
{
    config::VmEntry vm;
    vm.id = base::VmId(json.at("id").get<std::string>());
    vm.zone = base::ZoneId(json.at("zone").get<std::string>());
    vm.address = json.at("address").get<std::string>();
    vm.callerPort = json.at("callerPort").get<std::uint16_t>();
    vm.hopPort = json.at("hopPort").get<std::uint16_t>();
    vm.peerPort = json.at("peerPort").get<std::uint16_t>();
    vm.adminPort = json.at("adminPort").get<std::uint16_t>();
    vm.leaving = json.value("leaving", false);
    beast::error_code error;
    asio::ip::make_address(vm.address, error);
    if (error || vm.id.empty() || vm.zone.empty()) {
        refuse("a VM needs an id, an availability zone and an IP number");
    }
    return vm;
}

}

PublishedIndex parsePublishedIndex(const std::string &json)
{
    PublishedIndex index;
    try {
        const auto document = nlohmann::json::parse(json);
        index.revision = document.at("revision").get<base::Revision>();
        std::set<std::string> names;
        for (const auto &entry : document.at("files")) {
            PublishedFile file;
            file.name = entry.at("name").get<std::string>();
            file.digest = entry.at("digest").get<std::string>();
            file.bytes = entry.at("bytes").get<std::uint64_t>();
            if (!isPlainName(file.name) || !isPlainName(file.digest) || !names.insert(file.name).second) {
                refuse("a file name or digest is not acceptable");
            }
            index.files.push_back(std::move(file));
        }
    } catch (const nlohmann::json::exception &error) {
        refuse(error.what());
    }
    if (index.revision == 0 || index.files.size() > maxFiles) {
        refuse("the index needs a revision above 0 and at most 10,000 files");
    }
    return index;
}

config::VmList parseVmList(const std::string &json)
{
    config::VmList list;
    try {
        const auto document = nlohmann::json::parse(json);
        list.version = document.at("version").get<std::uint64_t>();
        for (const auto &entry : document.at("vms")) {
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

HttpPlatformClient::HttpPlatformClient(asio::io_context &context,
                                       const base::Clock &clock,
                                       std::vector<Endpoint> endpoints)
    : m_context(context)
    , m_pool(context, clock, HttpPool::Limits{})
    , m_endpoints(std::move(endpoints))
{
}

Awaitable<std::optional<PublishedIndex>> HttpPlatformClient::configuration(base::Revision after,
                                                                           std::chrono::seconds wait)
{
    std::string target = "/v1/configuration";
    if (wait.count() > 0) {
        target += "?after=" + std::to_string(after) + "&wait=" + std::to_string(wait.count());
    }
    const auto answer = co_await read(target, wait);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return parsePublishedIndex(*answer);
}

Awaitable<std::string> HttpPlatformClient::file(const PublishedFile &file)
{
    const auto answer
        = co_await read("/v1/configuration/files/" + file.name + "?digest=" + file.digest, std::chrono::seconds(0));
    if (!answer) {
        refuse("the platform has no file '" + file.name + "'");
    }
    // A proxy or a half-written store may hand out other bytes than the index names; a node that built from them
    // would hold another configuration under the same revision than its peers.
    if (config::fingerprintOf(*answer).toString() != file.digest) {
        refuse("the text of '" + file.name + "' does not match its digest");
    }
    co_return *answer;
}

Awaitable<std::optional<config::VmList>> HttpPlatformClient::vms(std::uint64_t after, std::chrono::seconds wait)
{
    std::string target = "/v1/vms";
    if (wait.count() > 0) {
        target += "?after=" + std::to_string(after) + "&wait=" + std::to_string(wait.count());
    }
    const auto answer = co_await read(target, wait);
    if (!answer) {
        co_return std::nullopt;
    }
    co_return parseVmList(*answer);
}

Awaitable<std::optional<std::string>> HttpPlatformClient::read(std::string target, std::chrono::seconds wait)
{
    const Endpoint endpoint = m_endpoints[m_next % m_endpoints.size()];
    auto exchange = std::make_shared<HttpExchange>(m_context, m_pool, endpoint);
    ClientRequest request;
    request.head.method(http::verb::get);
    request.head.target(target);
    request.head.set(http::field::host, toString(endpoint));
    asio::steady_timer timer(m_context, wait + answerTimeout);
    timer.async_wait([weak = std::weak_ptr<HttpExchange>(exchange)](const beast::error_code &error) {
        const auto late = weak.lock();
        if (!error && late) {
            late->cancel();
        }
    });
    co_await exchange->run(std::move(request), maxAnswerBytes);
    if (exchange->progress() != ExchangeProgress::Complete) {
        ++m_next;
        throw base::Error(base::ResultCode::PlatformUnreachable, toString(endpoint));
    }
    const auto status = exchange->head().result();
    if (status == http::status::no_content) {
        co_return std::nullopt;
    }
    if (status != http::status::ok) {
        refuse("status " + std::to_string(exchange->head().result_int()));
    }
    co_return std::move(exchange->body());
}

}

#include "papayastep/testing/platform.h"

#include <sodium.h>

#include <array>
#include <chrono>
#include <fstream>
#include <sstream>

namespace papayastep::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

namespace {

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        throw std::runtime_error("cannot read " + path.string());
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::string sha256(const std::string &text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    return sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
}

constexpr std::string_view filePrefix = "/v1/configuration/files/";

}

PlatformStandIn::PlatformStandIn(asio::io_context &context,
                                 std::uint16_t port,
                                 const std::filesystem::path &folder,
                                 const std::filesystem::path &vms)
    : m_changed(context, asio::steady_timer::time_point::max())
    , m_server(context, port, [this](Stream &, const Request &request) { return answer(request); })
{
    Files files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        if (entry.path().extension() == ".json") {
            files[entry.path().filename().string()] = readFile(entry.path());
        }
    }
    m_revisions.push_back(std::move(files));
    m_vmLists.push_back(json::parse(readFile(vms)).at("vms"));
}

PlatformStandIn::Answer PlatformStandIn::answer(const Request &request)
{
    const Target target = targetOf(request);
    if (target.path.starts_with("/control/")) {
        try {
            co_return control(request, target);
        } catch (const json::exception &error) {
            co_return jsonResponse(request, 400, {{"error", error.what()}});
        }
    }
    if (isAway()) {
        co_return std::nullopt;
    }
    if (target.path == "/v1/configuration" || target.path == "/v1/vms") {
        co_return co_await answerWatch(request, target, target.path == "/v1/vms" ? "vms" : "configuration");
    }
    if (target.path.starts_with(filePrefix)) {
        co_return answerFile(request, target);
    }
    co_return jsonResponse(request, 404, {{"error", "unknown path"}});
}

PlatformStandIn::Answer PlatformStandIn::answerWatch(const Request &request,
                                                     const Target &target,
                                                     const std::string &what)
{
    ++m_reads[what];
    const std::size_t after = std::stoul(target.value("after", "0"));
    const auto wait = std::chrono::milliseconds(static_cast<long>(1000 * std::stod(target.value("wait", "0"))));
    const auto end = std::chrono::steady_clock::now() + wait;
    for (;;) {
        const json body = what == "vms" ? vmListing() : listing();
        const std::size_t number = body.at(what == "vms" ? "version" : "revision").get<std::size_t>();
        if (number > after || (number < after && wait.count() == 0)) {
            co_return jsonResponse(request, 200, body);
        }
        if (std::chrono::steady_clock::now() >= end) {
            co_return jsonResponse(request, 204, {});
        }
        asio::steady_timer timeout(m_changed.get_executor(), end);
        timeout.async_wait([this](boost::system::error_code error) {
            if (!error) {
                m_changed.cancel();
            }
        });
        boost::system::error_code cancelled;
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        if (isAway()) {
            co_return std::nullopt;
        }
    }
}

std::optional<Response> PlatformStandIn::answerFile(const Request &request, const Target &target)
{
    ++m_reads["files"];
    const auto found = offeredFiles().find(target.path.substr(filePrefix.size()));
    const std::string wanted = target.value("digest", "");
    if (found == offeredFiles().end() || (!wanted.empty() && wanted != sha256(found->second))) {
        return jsonResponse(request, 404, {{"error", "file is not published with this name and digest"}});
    }
    Response response(http::status::ok, request.version());
    response.set(http::field::content_type, "application/json");
    response.body() = found->second;
    response.prepare_payload();
    return response;
}

Response PlatformStandIn::control(const Request &request, const Target &target)
{
    if (target.path == "/control/reads") {
        return jsonResponse(request, 200, m_reads);
    }
    const json body = json::parse(request.body());
    if (target.path == "/control/configuration") {
        m_revisions.push_back(body.at("files").get<Files>());
    } else if (target.path == "/control/vms") {
        m_vmLists.push_back(body.at("vms"));
    } else if (target.path == "/control/mode") {
        changeMode(body);
    } else {
        return jsonResponse(request, 404, {{"error", "unknown control path"}});
    }
    m_changed.cancel();
    return jsonResponse(request, 200, {{"revision", m_revisions.size()}, {"version", m_vmLists.size()}});
}

void PlatformStandIn::changeMode(const json &wanted)
{
    m_mode = wanted.at("mode").get<std::string>();
    m_staleRevision.reset();
    if (m_mode == "stale") {
        m_staleRevision = wanted.value("revision", m_revisions.size());
        m_staleVmVersion = m_vmLists.size();
    }
}

std::size_t PlatformStandIn::offeredRevision() const
{
    return m_staleRevision.value_or(m_revisions.size());
}

const PlatformStandIn::Files &PlatformStandIn::offeredFiles() const
{
    return m_revisions.at(offeredRevision() - 1);
}

json PlatformStandIn::listing() const
{
    json files = json::array();
    for (const auto &[name, text] : offeredFiles()) {
        files.push_back({{"name", name}, {"digest", sha256(text)}, {"bytes", text.size()}});
    }
    return {{"revision", offeredRevision()}, {"files", files}};
}

json PlatformStandIn::vmListing() const
{
    const std::size_t version = m_staleRevision ? m_staleVmVersion : m_vmLists.size();
    return {{"version", version}, {"vms", m_vmLists.at(version - 1)}};
}

bool PlatformStandIn::isAway() const
{
    return m_mode == "away";
}

}

#pragma once

#include "papayastep/testing/httpserver.h"

#include <filesystem>
#include <vector>

namespace papayastep::testing {

/// Stand-in for the platform's read-only service (docs/PLATFORM.md) and its two failures, `away` and `stale`.
///
/// Control, on the same port:
///   PUT  /control/configuration  {"files": {"NAME": "TEXT"}}           publishes the next revision
///   PUT  /control/vms            {"vms": [..]}                          publishes the next VM list
///   POST /control/mode           {"mode": "ok"|"away"|"stale", "revision": N}
///   GET  /control/reads          {"configuration": N, "files": N, "vms": N}
/// `away` closes connections without a response. `stale` keeps offering revision N (default: the latest revision when
/// the command arrives).
class PlatformStandIn
{
public:
    /// Publishes revision 1 from the files of `folder` and version 1 of the VM list in `vms`.
    PlatformStandIn(boost::asio::io_context &context,
                    std::uint16_t port,
                    const std::filesystem::path &folder,
                    const std::filesystem::path &vms);

private:
    using Files = std::map<std::string, std::string>;
    using Answer = boost::asio::awaitable<std::optional<Response>>;

    Answer answer(const Request &request);
    Answer answerWatch(const Request &request, const Target &target, const std::string &what);
    std::optional<Response> answerFile(const Request &request, const Target &target);
    Response control(const Request &request, const Target &target);
    void changeMode(const nlohmann::json &wanted);

    std::size_t offeredRevision() const;
    const Files &offeredFiles() const;
    nlohmann::json listing() const;
    nlohmann::json vmListing() const;
    bool isAway() const;

    std::vector<Files> m_revisions; ///< Revision N has the index N - 1.
    std::vector<nlohmann::json> m_vmLists; ///< Version N has the index N - 1.
    std::optional<std::size_t> m_staleRevision;
    std::size_t m_staleVmVersion = 0;
    std::string m_mode = "ok";
    std::map<std::string, std::uint64_t> m_reads;
    boost::asio::steady_timer m_changed; ///< Cancelled to wake the waiting requests.
    HttpServer m_server;
};

}

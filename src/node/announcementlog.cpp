#include "announcementlog.h"

#include "papayastep/base/log.h"
#include "papayastep/base/resultcode.h"

namespace papayastep::node {

namespace {

constexpr std::string_view logPrefix = "serving";

}

void logAnnouncementChange(const base::BackendServerId &server,
                           const routing::AnnouncedState &before,
                           const routing::AnnouncedState &after,
                           std::string_view source)
{
    if (after.requestsPerSecond && after.requestsPerSecond != before.requestsPerSecond) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server named a limit." << base::field("server", server)
                                        << base::field("requestsPerSecond", *after.requestsPerSecond)
                                        << base::field("before", before.requestsPerSecond.value_or(-1))
                                        << base::field("source", source);
    } else if (!after.requestsPerSecond && before.requestsPerSecond) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server no longer names a limit." << base::field("server", server)
                                        << base::field("before", *before.requestsPerSecond)
                                        << base::field("source", source);
    }
    if (!after.isLimitReadable && before.isLimitReadable) {
        PAPAYASTEP_LOG(WARNING, logPrefix)
            << "A backend server named a limit that cannot be read." << base::field("server", server)
            << base::field("code", number(base::ResultCode::HopLimitInvalid)) << base::field("source", source);
    }
    if (after.isLeaving && !before.isLeaving) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "A backend server announced its end." << base::field("server", server)
                                        << base::field("source", source);
    } else if (!after.isLeaving && before.isLeaving) {
        PAPAYASTEP_LOG(INFO, logPrefix) << "Forgot that a backend server announced its end."
                                        << base::field("server", server) << base::field("source", source);
    }
}

}

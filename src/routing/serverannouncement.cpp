#include "papayastep/routing/serverannouncement.h"

#include <charconv>
#include <cmath>

namespace papayastep::routing {

ServerAnnouncement readAnnouncement(std::string_view limit, std::string_view leaving)
{
    ServerAnnouncement announcement;
    announcement.isLeaving = leaving == "1";
    if (limit.empty()) {
        return announcement;
    }
    double value = 0;
    const char *last = limit.data() + limit.size();
    const auto [end, error] = std::from_chars(limit.data(), last, value, std::chars_format::fixed);
    // The text may also spell infinity or not-a-number.
    announcement.isLimitReadable = error == std::errc() && end == last && std::isfinite(value) && value >= 0;
    if (announcement.isLimitReadable) {
        announcement.requestsPerSecond = value;
    }
    return announcement;
}

}

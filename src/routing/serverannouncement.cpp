#include "papayastep/routing/serverannouncement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace papayastep::routing {

namespace {

std::optional<double> readRate(std::string_view text)
{
    double value = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value, std::chars_format::fixed);
    // The text may also spell infinity or not-a-number.
    const bool isRate = error == std::errc() && end == last && std::isfinite(value) && value >= 0;
    return isRate ? std::optional(value) : std::nullopt;
}

}

NamedLimit readLimit(const std::vector<std::string_view> &values)
{
    NamedLimit limit;
    for (const std::string_view text : values) {
        const std::optional<double> rate = readRate(text);
        limit.isReadable = limit.isReadable && rate;
        if (rate) {
            limit.requestsPerSecond = std::min(*rate, limit.requestsPerSecond.value_or(*rate));
        }
    }
    return limit;
}

std::string_view name(AnnouncementSource::Kind kind)
{
    switch (kind) {
    case AnnouncementSource::Kind::Request:
        return "answer";
    case AnnouncementSource::Kind::Probe:
        return "probe";
    case AnnouncementSource::Kind::Adopted:
        return "entry";
    case AnnouncementSource::Kind::Stray:
        return "stray-answer";
    }
    return "unknown";
}

}

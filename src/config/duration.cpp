#include "papayastep/config/duration.h"

#include <array>
#include <charconv>

namespace papayastep::config {

namespace {

struct Unit
{
    std::string_view name;
    base::Duration length;
};

constexpr std::array<Unit, 4> units{Unit{"h", std::chrono::hours(1)},
                                    Unit{"m", std::chrono::minutes(1)},
                                    Unit{"s", std::chrono::seconds(1)},
                                    Unit{"ms", std::chrono::milliseconds(1)}};

}

std::optional<base::Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (error != std::errc() || text.front() == '-') {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()));
    for (const Unit &unit : units) {
        if (text == unit.name && count <= base::Duration::max() / unit.length) {
            return count * unit.length;
        }
    }
    return std::nullopt;
}

std::string formatDuration(base::Duration duration)
{
    for (const Unit &unit : units) {
        if (duration.count() != 0 && duration % unit.length == base::Duration::zero()) {
            return std::to_string(duration / unit.length) + std::string(unit.name);
        }
    }
    return std::to_string(duration / units.back().length) + std::string(units.back().name);
}

}

#include "papayastep/routing/routetable.h"

#include "papayastep/base/hashing.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace papayastep::routing {

namespace {

constexpr std::size_t longestHost = 255;

char lowered(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char c) { return lowered(c); });
    return result;
}

/// Returns the host without its port. Brackets of an IPv6 address stay.
std::string_view withoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon == std::string_view::npos || host.find(']', colon) != std::string_view::npos) {
        return host;
    }
    return host.substr(0, colon);
}

/// Removes trailing slashes: `/refunds/` and `/refunds` are the same prefix, and `/` is the empty one.
std::string_view withoutTrailingSlash(std::string_view prefix)
{
    while (!prefix.empty() && prefix.back() == '/') {
        prefix.remove_suffix(1);
    }
    return prefix;
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char low = lowered(c);
    return low >= 'a' && low <= 'f' ? low - 'a' + 10 : -1;
}

bool isUnreserved(char c)
{
    const char low = lowered(c);
    return (low >= 'a' && low <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

/// Returns the character that `%XY` at `position` encodes, or -1 if it is not a valid escape.
int escapedAt(std::string_view path, std::size_t position)
{
    if (position + 2 >= path.size()) {
        return -1;
    }
    const int high = hexValue(path[position + 1]);
    const int low = hexValue(path[position + 2]);
    return high < 0 || low < 0 ? -1 : high * 16 + low;
}

/// Decodes escapes of unreserved characters (RFC 3986 6.2.2.2): `/%72efunds` is `/refunds` to a backend server.
/// Returns nothing if an escape is invalid.
std::optional<std::string> withoutNeedlessEscapes(std::string_view path)
{
    std::string result;
    result.reserve(path.size());
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (path[i] != '%') {
            result.push_back(path[i]);
            continue;
        }
        const int character = escapedAt(path, i);
        if (character < 0) {
            return std::nullopt;
        }
        if (isUnreserved(static_cast<char>(character))) {
            result.push_back(static_cast<char>(character));
        } else {
            result.append(path.substr(i, 3));
        }
        i += 2;
    }
    return result;
}

/// Returns whether `path`, without needless escapes, contains a segment that a backend server may resolve or merge. An
/// escaped slash or backslash counts as a separator here, since some servers decode the path before they split it.
bool isAmbiguous(std::string_view path)
{
    std::size_t segmentLength = 0;
    std::size_t dots = 0;
    bool afterPlainSlash = false;
    const auto endsBadly = [&](bool atEnd) {
        if (segmentLength == 0) {
            return afterPlainSlash && !atEnd;
        }
        return segmentLength == dots && dots <= 2;
    };
    for (std::size_t i = 0; i < path.size(); ++i) {
        const char c = path[i];
        const int escaped = c == '%' ? escapedAt(path, i) : -1;
        if (c == '\\' || c == '\0' || escaped == '\\' || escaped == 0) {
            return true;
        }
        if (c == '/' || escaped == '/') {
            if (i != 0 && endsBadly(false)) {
                return true;
            }
            segmentLength = 0;
            dots = 0;
            afterPlainSlash = true;
            i += escaped >= 0 ? 2 : 0;
            continue;
        }
        ++segmentLength;
        dots += c == '.' ? 1 : 0;
    }
    return endsBadly(true);
}

std::uint64_t hashOfHost(std::string_view host)
{
    return base::stableHash(host);
}

std::uint64_t hashOfSegment(std::uint64_t before, std::string_view segment)
{
    return base::stableHash(segment, before);
}

std::uint64_t hashOfPrefix(std::string_view host, std::string_view prefix)
{
    std::uint64_t hash = hashOfHost(host);
    std::size_t begin = 0;
    while (begin < prefix.size()) {
        const auto end = std::min(prefix.find('/', begin + 1), prefix.size());
        hash = hashOfSegment(hash, prefix.substr(begin, end - begin));
        begin = end;
    }
    return hash;
}

/// Sorts routes of the same host and prefix next to each other, in the order in which they are tried.
struct SortKey
{
    std::string host;
    std::string_view prefix;
    bool anyMethod = false;
    std::string_view id;

    auto operator<=>(const SortKey &) const = default;

    bool isSamePlace(const SortKey &other) const
    {
        return host == other.host && prefix == other.prefix;
    }
};

std::vector<SortKey> sortKeys(const std::vector<config::Route> &routes)
{
    std::vector<SortKey> keys;
    keys.reserve(routes.size());
    for (const auto &route : routes) {
        const auto prefix = withoutTrailingSlash(route.pathPrefix);
        keys.push_back(SortKey{lowered(route.host), prefix, route.methods.empty(), route.id.value()});
    }
    return keys;
}

bool allows(const config::Route &route, std::string_view method, bool isBelow)
{
    if (route.onlyBelowPrefix && !isBelow) {
        return false;
    }
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

}

bool isIdempotent(const config::Route &route, std::string_view method)
{
    if (route.idempotent) {
        return *route.idempotent;
    }
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

base::ServiceId chooseService(const config::Route &route, std::mt19937_64 &random)
{
    if (route.split.empty()) {
        return route.service;
    }
    double sum = 0;
    for (const config::RouteTarget &target : route.split) {
        sum += target.weight;
    }
    double drawn = std::uniform_real_distribution<double>(0, sum)(random);
    for (const config::RouteTarget &target : route.split) {
        if (drawn < target.weight) {
            return target.service;
        }
        drawn -= target.weight;
    }
    return route.service;
}

RouteTable::RouteTable(config::ConfigurationPtr configuration)
    : m_configuration(std::move(configuration))
{
    const auto &routes = m_configuration->routes();
    const std::vector<SortKey> keys = sortKeys(routes);
    m_order.resize(routes.size());
    std::iota(m_order.begin(), m_order.end(), 0u);
    std::sort(m_order.begin(), m_order.end(), [&](std::uint32_t a, std::uint32_t b) { return keys[a] < keys[b]; });

    for (std::uint32_t i = 0; i < m_order.size(); ++i) {
        const SortKey &key = keys[m_order[i]];
        const bool sameAsBefore = i > 0 && key.isSamePlace(keys[m_order[i - 1]]);
        if (!sameAsBefore) {
            m_groups.push_back(i);
        }
        const auto segments = static_cast<std::size_t>(std::count(key.prefix.begin(), key.prefix.end(), '/'));
        m_longestPrefix = std::max(m_longestPrefix, segments);
        m_hasAnyHost = m_hasAnyHost || key.host.empty();
    }

    std::size_t slots = 2;
    while (slots < m_groups.size() * 2) {
        slots *= 2;
    }
    m_slots.resize(slots);
    for (std::uint32_t group = 0; group < m_groups.size(); ++group) {
        insertGroup(group);
    }
    m_groups.push_back(static_cast<std::uint32_t>(m_order.size()));
    m_groups.shrink_to_fit();
}

void RouteTable::insertGroup(std::uint32_t group)
{
    const auto &route = m_configuration->routes()[m_order[m_groups[group]]];
    const std::uint64_t hash = hashOfPrefix(lowered(route.host), withoutTrailingSlash(route.pathPrefix));
    const std::size_t mask = m_slots.size() - 1;
    std::size_t position = hash & mask;
    while (m_slots[position].group != 0) {
        position = (position + 1) & mask;
    }
    m_slots[position] = Slot{static_cast<std::uint32_t>(hash >> 32), group + 1};
}

const config::Route *RouteTable::routeOfGroup(
    std::uint64_t hash, std::string_view host, std::string_view method, std::string_view prefix, bool isBelow) const
{
    const auto &routes = m_configuration->routes();
    const std::size_t mask = m_slots.size() - 1;
    const auto fingerprint = static_cast<std::uint32_t>(hash >> 32);
    for (std::size_t position = hash & mask; m_slots[position].group != 0; position = (position + 1) & mask) {
        if (m_slots[position].fingerprint != fingerprint) {
            continue;
        }
        const std::uint32_t group = m_slots[position].group - 1;
        const auto &first = routes[m_order[m_groups[group]]];
        const bool same = withoutTrailingSlash(first.pathPrefix) == prefix && first.host.size() == host.size()
            && std::equal(host.begin(), host.end(), first.host.begin(), [](char a, char b) { return a == lowered(b); });
        if (!same) {
            continue;
        }
        for (std::uint32_t i = m_groups[group]; i < m_groups[group + 1]; ++i) {
            const auto &route = routes[m_order[i]];
            if (allows(route, method, isBelow)) {
                return &route;
            }
        }
        return nullptr;
    }
    return nullptr;
}

const config::Route *RouteTable::find(std::string_view host, std::string_view method, std::string_view path) const
{
    std::uint64_t hash = hashOfHost(host);
    const config::Route *best = routeOfGroup(hash, host, method, {}, true);
    std::size_t begin = 0;
    for (std::size_t segment = 0; segment < m_longestPrefix && begin < path.size(); ++segment) {
        const auto end = std::min(path.find('/', begin + 1), path.size());
        hash = hashOfSegment(hash, path.substr(begin, end - begin));
        const auto *route = routeOfGroup(hash, host, method, path.substr(0, end), end < path.size());
        best = route != nullptr ? route : best;
        begin = end;
    }
    return best;
}

std::optional<RouteMatch> RouteTable::match(std::string_view host,
                                            std::string_view method,
                                            std::string_view target) const
{
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/') {
        return std::nullopt;
    }
    std::string unescaped;
    if (path.find('%') != std::string_view::npos) {
        auto decoded = withoutNeedlessEscapes(path);
        if (!decoded) {
            return std::nullopt;
        }
        unescaped = std::move(*decoded);
        path = unescaped;
    }
    if (isAmbiguous(path)) {
        return std::nullopt;
    }

    const std::string_view named = withoutPort(host);
    if (named.size() > longestHost) {
        return std::nullopt;
    }
    std::array<char, longestHost> buffer{};
    std::transform(named.begin(), named.end(), buffer.begin(), [](char c) { return lowered(c); });

    const config::Route *route = find(std::string_view(buffer.data(), named.size()), method, path);
    if (route == nullptr && m_hasAnyHost && !named.empty()) {
        route = find({}, method, path);
    }
    if (route == nullptr) {
        return std::nullopt;
    }
    return RouteMatch{route, isIdempotent(*route, method)};
}

std::size_t RouteTable::memoryBytes() const
{
    return sizeof(*this) + m_order.capacity() * sizeof(m_order[0]) + m_groups.capacity() * sizeof(m_groups[0])
        + m_slots.capacity() * sizeof(m_slots[0]);
}

}

#include "entryreader.h"

#include "papayastep/config/duration.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <unordered_set>

namespace papayastep::config {

namespace {

using base::ResultCode;
using nlohmann::json;

constexpr base::Duration maxDeadline = std::chrono::hours(1);
constexpr base::Duration maxRetention = std::chrono::hours(168);
constexpr base::Duration maxTargetLatency = std::chrono::hours(1);
constexpr base::Duration maxCallerTimeout = std::chrono::hours(1);
constexpr base::Duration maxColdStart = std::chrono::hours(1);

const json *fieldOf(const json &entry, const char *name)
{
    const auto found = entry.find(name);
    return found != entry.end() ? &*found : nullptr;
}

template<typename Value>
void read(const json &entry, const char *name, Value &into)
{
    if (const json *field = fieldOf(entry, name)) {
        into = field->get<Value>();
    }
}

template<typename Tag>
void readId(const json &entry, const char *name, base::Identifier<Tag> &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, name);
    if (!field) {
        return;
    }
    into = base::Identifier<Tag>(field->get<std::string>());
    if (!isValidIdentifier(into.value())) {
        context.fail(
            ResultCode::ConfigSchema, name, "an identifier may contain only letters, digits, '.', '_' and '-'");
    }
}

void readDuration(
    const json &entry, const char *name, base::Duration longest, base::Duration &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, name);
    if (!field) {
        return;
    }
    const auto duration = parseDuration(field->get_ref<const std::string &>());
    if (!duration) {
        context.fail(ResultCode::ConfigSchema, name, "a duration must be a whole number with a unit: ms, s, m or h");
        return;
    }
    into = *duration;
    if (into <= base::Duration::zero() || into > longest) {
        context.fail(ResultCode::ConfigOutOfRange,
                     name,
                     "the duration must be greater than 0 and at most " + formatDuration(longest));
    }
}

/// Calls `handle` with each fingerprint in the list `name` and the path of the fingerprint within the entry.
template<typename Handler>
void forEachKey(const json &entry, const char *name, const EntryContext &context, const Handler &handle)
{
    const json *field = fieldOf(entry, name);
    for (std::size_t index = 0; field && index < field->size(); ++index) {
        const std::string fieldPath = std::string(name) + "/" + std::to_string(index);
        try {
            handle(KeyFingerprint::parse((*field)[index].get_ref<const std::string &>()), fieldPath);
        } catch (const base::Error &error) {
            context.fail(error.code(), fieldPath, error.detail());
        }
    }
}

/// Finds duplicates among the keys of a workspace. Nearly every workspace has a single key, and some have many
/// thousands.
class KnownKeys
{
public:
    explicit KnownKeys(const KeyFingerprints &keys)
        : m_keys(keys)
    {
    }

    /// Returns whether `key` is among the keys, which may have grown since the last call.
    bool contains(const KeyFingerprint &key)
    {
        if (m_keys.size() < maxSearchedKeys) {
            return std::find(m_keys.begin(), m_keys.end(), key) != m_keys.end();
        }
        for (; m_indexed < m_keys.size(); ++m_indexed) {
            m_index.insert(m_keys[m_indexed]);
        }
        return m_index.contains(key);
    }

private:
    static constexpr std::size_t maxSearchedKeys = 16; ///< Below this number a search is faster than a hash set.

    const KeyFingerprints &m_keys;
    std::unordered_set<KeyFingerprint> m_index;
    std::size_t m_indexed = 0;
};

void readKeys(const json &entry, KeyFingerprints &keys, const EntryContext &context)
{
    KnownKeys known(keys);
    const auto add = [&](const KeyFingerprint &key, const std::string &fieldPath) {
        if (known.contains(key)) {
            context.fail(ResultCode::ConfigDuplicate, fieldPath, "the workspace already has this key");
        }
        keys.push_back(key);
    };
    const auto withdraw = [&](const KeyFingerprint &key, const std::string &fieldPath) {
        const auto found = std::find(keys.begin(), keys.end(), key);
        if (found == keys.end()) {
            context.fail(ResultCode::ConfigUnknownReference, fieldPath, "the workspace has no such key");
        } else {
            keys.erase(found);
        }
    };
    if (const json *field = fieldOf(entry, "keys")) {
        keys.clear();
        keys.reserve(field->size());
    }
    for (const char *name : {"addKeys", "withdrawKeys"}) {
        if (fieldOf(entry, name) && !entry.value("override", false)) {
            context.fail(ResultCode::ConfigContradiction, name, "this field requires \"override\": true");
        }
    }
    forEachKey(entry, "keys", context, add);
    forEachKey(entry, "addKeys", context, add);
    forEachKey(entry, "withdrawKeys", context, withdraw);
}

bool isPathCharacter(char character)
{
    return character > ' ' && character < 127 && character != '?' && character != '#' && character != '\\';
}

/// Whether `path` is a valid path prefix. A prefix with "//", "." or ".." or a trailing slash would match other
/// requests than the operator expects.
bool isValidPathPrefix(const std::string &path)
{
    if (path == "/") {
        return true;
    }
    if (!path.starts_with('/') || path.ends_with('/') || !std::all_of(path.begin(), path.end(), isPathCharacter)) {
        return false;
    }
    const std::string terminated = path + '/';
    return terminated.find("//") == std::string::npos && terminated.find("/./") == std::string::npos
        && terminated.find("/../") == std::string::npos;
}

void readPath(const json &entry, const char *name, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, name);
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    if (!into.empty() && !isValidPathPrefix(into)) {
        context.fail(
            ResultCode::ConfigSchema, name, "the path must be a plain path such as /refunds, without a trailing slash");
    }
}

bool isHostCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
        || character == '.' || character == '_';
}

/// Reads a path that nodes request. Unlike a path prefix it may end in a slash or have a query.
void readRequestedPath(const json &entry, const char *name, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, name);
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    const bool hasOnlyVisibleCharacters
        = std::all_of(into.begin(), into.end(), [](char character) { return character > ' ' && character < 127; });
    if (!into.empty() && (!into.starts_with('/') || !hasOnlyVisibleCharacters)) {
        context.fail(ResultCode::ConfigSchema, name, "the path must start with a slash and have no spaces");
    }
}

void readHost(const json &entry, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, "host");
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    if (!std::all_of(into.begin(), into.end(), isHostCharacter)) {
        context.fail(ResultCode::ConfigSchema, "host", "the host must be a lower-case host name without a port");
    }
}

void readMethods(const json &entry, std::vector<std::string> &into, const EntryContext &context)
{
    read(entry, "methods", into);
    std::sort(into.begin(), into.end());
    if (std::adjacent_find(into.begin(), into.end()) != into.end()) {
        context.fail(ResultCode::ConfigDuplicate, "methods", "a method is listed twice");
    }
    into.shrink_to_fit();
}

void readSplit(const json &entry, Route &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, "split");
    if (!field) {
        return;
    }
    into.split.clear();
    double sum = 0;
    for (const json &part : *field) {
        RouteTarget target;
        readId(part, "service", target.service, context);
        read(part, "weight", target.weight);
        sum += target.weight;
        into.split.push_back(std::move(target));
    }
    if (sum <= 0) {
        context.fail(ResultCode::ConfigOutOfRange, "split", "at least one weight must be above 0");
    }
    into.service = into.split.front().service;
}

void readAddress(const json &entry, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, "address");
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    boost::system::error_code error;
    boost::asio::ip::make_address(into, error);
    if (error) {
        context.fail(ResultCode::ConfigSchema, "address", "the address must be an IP address");
    }
}

}

void EntryContext::fail(ResultCode code, std::string_view field, const std::string &detail) const
{
    m_errors.add(code, detail, {m_file, entryPointer(m_section, m_index, field)});
}

std::string entryPointer(std::string_view section, std::size_t index, std::string_view field)
{
    std::string pointer = "/" + std::string(section) + "/" + std::to_string(index);
    if (!field.empty()) {
        pointer += "/" + std::string(field);
    }
    return pointer;
}

void readEntry(const json &json, Workspace &into, const EntryContext &context)
{
    readId(json, "id", into.id, context);
    readKeys(json, into.keys, context);
    read(json, "rate", into.rate);
    read(json, "burst", into.burst);
    if (json.value("unlimited", false)) {
        into.rate = 0;
        into.burst = 0;
    }
    if (const auto *field = fieldOf(json, "priority")) {
        into.priority = field->get<int>();
    }
}

void readEntry(const json &json, Service &into, const EntryContext &context)
{
    readId(json, "id", into.id, context);
    if (const auto *field = fieldOf(json, "prefer")) {
        into.prefer
            = *field == "few-ejections" ? DetectionPreference::FewEjections : DetectionPreference::FastDetection;
    }
    read(json, "floor", into.floor);
    readRequestedPath(json, "healthPath", into.healthPath, context);
    readDuration(json, "coldStart", maxColdStart, into.coldStart.duration, context);
    read(json, "coldRequestsPerSecond", into.coldStart.requestsPerSecond);
}

void readEntry(const json &json, Route &into, const EntryContext &context)
{
    readId(json, "id", into.id, context);
    readHost(json, into.host, context);
    readPath(json, "pathPrefix", into.pathPrefix, context);
    read(json, "below", into.onlyBelowPrefix);
    readMethods(json, into.methods, context);
    if (json.contains("service")) {
        into.split.clear();
    }
    readId(json, "service", into.service, context);
    readSplit(json, into, context);
    read(json, "public", into.isPublic);
    read(json, "priority", into.priority);
    read(json, "maxAttempts", into.maxAttempts);
    readDuration(json, "targetLatency", maxTargetLatency, into.targetLatency, context);
    if (const auto *field = fieldOf(json, "idempotent")) {
        into.idempotent = field->get<bool>();
    }
    readDuration(json, "deadline", maxDeadline, into.deadline, context);
    readDuration(json, "retention", maxRetention, into.retention, context);
    read(json, "stream", into.stream);
}

void readEntry(const json &json, BackendServer &into, const EntryContext &context)
{
    readId(json, "id", into.id, context);
    readId(json, "service", into.service, context);
    readId(json, "vm", into.vm, context);
    readId(json, "zone", into.zone, context);
    readAddress(json, into.address, context);
    read(json, "port", into.port);
    read(json, "slots", into.slots);
    read(json, "drain", into.drain);
}

void readLimits(const json &entry, CallerLimits &into, const EntryContext &context)
{
    const auto readTimeout = [&](const char *name, std::optional<base::Duration> &timeout) {
        if (fieldOf(entry, name)) {
            readDuration(entry, name, maxCallerTimeout, timeout.emplace(), context);
        }
    };
    if (const auto *field = fieldOf(entry, "headerBytes")) {
        into.headerBytes = field->get<std::uint64_t>();
    }
    if (const auto *field = fieldOf(entry, "bodyBytes")) {
        into.bodyBytes = field->get<std::uint64_t>();
    }
    readTimeout("headerTimeout", into.headerTimeout);
    readTimeout("idleTimeout", into.idleTimeout);
}

bool isReplaced(const json &entry, std::string_view field)
{
    if (field == "rate" || field == "burst") {
        return entry.value("unlimited", false);
    }
    return field == "service" && entry.contains("split");
}

std::span<const std::string_view> requiredFields(const Workspace &)
{
    static constexpr std::array<std::string_view, 3> fields{"keys", "rate", "burst"};
    return fields;
}

std::span<const std::string_view> requiredFields(const Service &)
{
    return {};
}

std::span<const std::string_view> requiredFields(const Route &)
{
    static constexpr std::array<std::string_view, 2> fields{"pathPrefix", "service"};
    return fields;
}

std::span<const std::string_view> requiredFields(const BackendServer &)
{
    static constexpr std::array<std::string_view, 6> fields{"service", "vm", "zone", "address", "port", "slots"};
    return fields;
}

bool isValidIdentifier(const std::string &name)
{
    const auto isValidCharacter = [](unsigned char character) {
        return character < 128
            && (std::isalnum(character) != 0 || character == '.' || character == '_' || character == '-');
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), isValidCharacter);
}

}

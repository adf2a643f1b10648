#include "entryreader.h"

#include "papayastep/config/duration.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace papayastep::config {

namespace {

using base::ResultCode;
using nlohmann::json;

constexpr base::Duration maxDeadline = std::chrono::hours(1);
constexpr base::Duration maxRetention = std::chrono::hours(168);
constexpr base::Duration maxTargetLatency = std::chrono::hours(1);
constexpr base::Duration maxCallerTimeout = std::chrono::hours(1);

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
    if (!isGoodIdentifier(into.value())) {
        context.fail(ResultCode::ConfigSchema, name, "use letters, digits, '.', '_' and '-' only");
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
        context.fail(ResultCode::ConfigSchema, name, "use a whole number and a unit: ms, s, m or h");
        return;
    }
    into = *duration;
    if (into <= base::Duration::zero() || into > longest) {
        context.fail(ResultCode::ConfigOutOfRange, name, "use more than 0 and at most " + formatDuration(longest));
    }
}

/// Calls `take` with each fingerprint of the list `name` and its place.
template<typename Take>
void forEachKey(const json &entry, const char *name, const EntryContext &context, const Take &take)
{
    const json *field = fieldOf(entry, name);
    for (std::size_t index = 0; field && index < field->size(); ++index) {
        const std::string place = std::string(name) + "/" + std::to_string(index);
        try {
            take(KeyFingerprint::parse((*field)[index].get_ref<const std::string &>()), place);
        } catch (const base::Error &error) {
            context.fail(error.code(), place, error.detail());
        }
    }
}

void readKeys(const json &entry, KeyFingerprints &keys, const EntryContext &context)
{
    const auto add = [&](const KeyFingerprint &key, const std::string &place) {
        if (std::find(keys.begin(), keys.end(), key) != keys.end()) {
            context.fail(ResultCode::ConfigDuplicate, place, "the workspace has this key already");
        }
        keys.push_back(key);
    };
    const auto withdraw = [&](const KeyFingerprint &key, const std::string &place) {
        const auto found = std::find(keys.begin(), keys.end(), key);
        if (found == keys.end()) {
            context.fail(ResultCode::ConfigUnknownReference, place, "the workspace has no such key");
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
            context.fail(ResultCode::ConfigContradiction, name, "this needs \"override\": true");
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

/// A prefix with "//", "." or ".." or a final slash would match other requests than the operator reads out of it.
bool isGoodPathPrefix(const std::string &path)
{
    if (path == "/") {
        return true;
    }
    if (!path.starts_with('/') || path.ends_with('/') || !std::all_of(path.begin(), path.end(), isPathCharacter)) {
        return false;
    }
    const std::string closed = path + '/';
    return closed.find("//") == std::string::npos && closed.find("/./") == std::string::npos
        && closed.find("/../") == std::string::npos;
}

void readPath(const json &entry, const char *name, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, name);
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    if (!into.empty() && !isGoodPathPrefix(into)) {
        context.fail(ResultCode::ConfigSchema, name, "use a plain path such as /refunds, without a final slash");
    }
}

bool isHostCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-'
        || character == '.';
}

void readHost(const json &entry, std::string &into, const EntryContext &context)
{
    const json *field = fieldOf(entry, "host");
    if (!field) {
        return;
    }
    into = field->get<std::string>();
    if (!std::all_of(into.begin(), into.end(), isHostCharacter)) {
        context.fail(ResultCode::ConfigSchema, "host", "use a lower-case host name without a port");
    }
}

void readMethods(const json &entry, std::vector<std::string> &into, const EntryContext &context)
{
    read(entry, "methods", into);
    std::sort(into.begin(), into.end());
    if (std::adjacent_find(into.begin(), into.end()) != into.end()) {
        context.fail(ResultCode::ConfigDuplicate, "methods", "a method stands twice");
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
    boost::system::error_code problem;
    boost::asio::ip::make_address(into, problem);
    if (problem) {
        context.fail(ResultCode::ConfigSchema, "address", "use an IP number");
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
    readPath(json, "healthPath", into.healthPath, context);
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

bool isGoodIdentifier(const std::string &name)
{
    const auto good = [](unsigned char character) {
        return character < 128
            && (std::isalnum(character) != 0 || character == '.' || character == '_' || character == '-');
    };
    return !name.empty() && std::all_of(name.begin(), name.end(), good);
}

}

#include "papayastep/node/settings.h"

#include "papayastep/base/error.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace papayastep::embedded {
extern const std::string_view settingsSchema;
}

namespace papayastep::node {

namespace {

using Json = nlohmann::json;
using base::ResultCode;

/// Converts a location that valijson reports as `<root>[listen][caller]` to a JSON pointer (RFC 6901).
std::string pointerOf(const std::string &context)
{
    std::string pointer;
    for (const char c : context.substr(std::min(context.find('['), context.size()))) {
        if (c == '[') {
            pointer += '/';
        } else if (c != ']') {
            pointer += c;
        }
    }
    return pointer;
}

void checkSchema(const Json &document, const std::string &file)
{
    const Json schemaDocument = Json::parse(embedded::settingsSchema);
    valijson::Schema schema;
    valijson::SchemaParser parser;
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return;
    }
    valijson::ValidationResults::Error error;
    std::string context;
    results.popError(error);
    for (const std::string &part : error.context) {
        context += part;
    }
    throw base::Error(ResultCode::SettingsSchema, error.description, {file, pointerOf(context)});
}

Json parseJson(std::string_view text, const std::string &file)
{
    try {
        return Json::parse(text);
    } catch (const Json::exception &error) {
        throw base::Error(ResultCode::SettingsSchema, error.what(), {file, ""});
    }
}

/// Sets the member at `pointer` to a value that is not empty. If the file has something other than an object at the
/// parent of `pointer`, nothing is set; the schema check then reports the wrong member.
void override(Json &document, const Json::json_pointer &pointer, const std::string &value)
{
    const auto parent = pointer.parent_pointer();
    const bool fits = !document.contains(parent) || document[parent].is_object();
    if (!value.empty() && fits) {
        document[pointer] = value;
    }
}

void applyOverrides(Json &document, const SettingsOverrides &overrides)
{
    override(document, Json::json_pointer("/vm"), overrides.vm);
    override(document, Json::json_pointer("/zone"), overrides.zone);
    override(document, Json::json_pointer("/listen/caller"), overrides.caller);
    override(document, Json::json_pointer("/listen/hop"), overrides.hop);
    override(document, Json::json_pointer("/listen/peer"), overrides.peer);
    override(document, Json::json_pointer("/listen/admin"), overrides.admin);
    override(document, Json::json_pointer("/secretFile"), overrides.secretFile);
    if (!overrides.platform.empty()) {
        document["platform"] = overrides.platform;
    }
}

base::Duration milliseconds(const Json &parent, const char *name, base::Duration fallback)
{
    return parent.contains(name) ? base::Duration(std::chrono::milliseconds(parent[name].get<std::int64_t>()))
                                 : fallback;
}

PlacementChoice placementOf(const std::string &name)
{
    if (name == "least-cost") {
        return PlacementChoice::LeastCost;
    }
    return name == "random" ? PlacementChoice::Random : PlacementChoice::TwoChoices;
}

base::Duration secondsOf(const Json &value)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value.get<double>()));
}

/// Reads the total time of a planned stop, as given by the program that stops the node. It is divided into the time of
/// the announcement, the time to wait for requests in flight, and a reserve for the process to exit.
void readStopTime(const Json &document, NodeSettings &settings)
{
    constexpr base::Duration exitReserve = std::chrono::milliseconds(800);
    constexpr double announceShare = 0.4;
    if (!document.contains("stopWithinS")) {
        return;
    }
    const base::Duration available = secondsOf(document["stopWithinS"]) - exitReserve;
    settings.announceFirst = std::chrono::duration_cast<base::Duration>(available * announceShare);
    settings.drainTimeout = available - settings.announceFirst;
}

net::ServerLimits readLimits(const Json &document)
{
    net::ServerLimits limits;
    if (!document.contains("limits")) {
        return limits;
    }
    const Json &json = document["limits"];
    limits.headerBytes = json.value("headerBytes", limits.headerBytes);
    limits.bodyBytes = json.value("bodyBytes", limits.bodyBytes);
    limits.connections = json.value("connections", limits.connections);
    limits.headerTimeout = milliseconds(json, "headerTimeoutMs", limits.headerTimeout);
    limits.bodyTimeout = milliseconds(json, "bodyTimeoutMs", limits.bodyTimeout);
    limits.idleTimeout = milliseconds(json, "idleTimeoutMs", limits.idleTimeout);
    limits.writeTimeout = milliseconds(json, "writeTimeoutMs", limits.writeTimeout);
    limits.pipelinedRequests = json.value("pipelinedRequests", limits.pipelinedRequests);
    limits.pipelinedBytes = json.value("pipelinedBytes", limits.pipelinedBytes);
    return limits;
}

net::Endpoint endpointAt(const Json &document, const std::string &pointer, const std::string &file)
{
    try {
        return net::parseEndpoint(document[Json::json_pointer(pointer)].get<std::string>());
    } catch (const base::Error &error) {
        throw base::Error(error.code(), error.detail(), {file, pointer});
    }
}

NodeSettings settingsOf(const Json &document, const std::string &file)
{
    NodeSettings settings;
    settings.vm = base::VmId(document["vm"].get<std::string>());
    settings.zone = base::ZoneId(document["zone"].get<std::string>());
    settings.caller = endpointAt(document, "/listen/caller", file);
    settings.hop = endpointAt(document, "/listen/hop", file);
    settings.peer = endpointAt(document, "/listen/peer", file);
    settings.admin = endpointAt(document, "/listen/admin", file);
    for (std::size_t index = 0; index < document["platform"].size(); ++index) {
        settings.platform.push_back(endpointAt(document, "/platform/" + std::to_string(index), file));
    }
    if (document["listen"].contains("ready")) {
        settings.ready = endpointAt(document, "/listen/ready", file);
    }
    settings.readyPath = document.value("readyPath", settings.readyPath);
    settings.service = base::ServiceId(document.value("service", ""));
    if (document.value("interfaces", "own") == "platform") {
        settings.interfaces = InterfaceChoice::Platform;
    }
    settings.asksForFreeSlots = document.value("asksForFreeSlots", settings.asksForFreeSlots);
    settings.confirmsRecovery = document.value("confirmsRecovery", settings.confirmsRecovery);
    if (document.contains("zoneTransfer")) {
        const Json &transfer = document["zoneTransfer"];
        settings.zoneTransfer = routing::ZoneTransferSettings{transfer["costPerKilobyte"].get<double>(),
                                                              transfer["maxCost"].get<double>()};
    }
    if (document.contains("overflowQueue")) {
        const Json &queue = document["overflowQueue"];
        settings.overflowQueue = limits::OverflowSettings{milliseconds(queue, "minTimeAfterTargetMs", {}),
                                                          queue["maxQueued"].get<std::size_t>()};
    }
    if (document.contains("longestHoldS")) {
        settings.longestHold = secondsOf(document["longestHoldS"]);
    }
    if (document.contains("retryLimit")) {
        const Json &limit = document["retryLimit"];
        settings.retryLimit = routing::FleetRetryLimit{
            limit["ratio"].get<double>(), limit["slack"].get<double>(), secondsOf(limit["windowS"])};
    }
    if (document.value("rateLimits", "strict") == "pooled") {
        settings.rateLimits = RateLimitChoice::Pooled;
    }
    settings.placement = placementOf(document.value("placement", "two-choices"));
    settings.ejection = document.value("ejection", "on") == "on";
    settings.noEarlierRuns = document.value("noEarlierRuns", false);
    settings.limits = readLimits(document);
    settings.acknowledgeAfter = milliseconds(document, "acknowledgeAfterMs", settings.acknowledgeAfter);
    settings.drainTimeout = milliseconds(document, "drainTimeoutMs", settings.drainTimeout);
    readStopTime(document, settings);
    settings.announceFirst = milliseconds(document, "announceFirstMs", settings.announceFirst);
    return settings;
}

Json checkedDocument(std::string_view text, const std::string &file, const SettingsOverrides &overrides)
{
    Json document = parseJson(text, file);
    if (document.is_object()) {
        applyOverrides(document, overrides);
    }
    checkSchema(document, file);
    return document;
}

/// A file descriptor that is closed at the end of its scope.
class OpenFile
{
public:
    explicit OpenFile(const std::string &path)
        : m_descriptor(::open(path.c_str(), O_RDONLY | O_CLOEXEC | O_NONBLOCK))
    {
    }
    ~OpenFile()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }
    OpenFile(const OpenFile &) = delete;
    OpenFile &operator=(const OpenFile &) = delete;

    bool isRegular() const
    {
        struct stat status = {};
        return m_descriptor >= 0 && ::fstat(m_descriptor, &status) == 0 && S_ISREG(status.st_mode);
    }

    /// Appends the next bytes of the file. Returns their number, 0 at the end of the file, or -1 with errno set.
    ssize_t readInto(std::string &text) const
    {
        char part[4096];
        const ssize_t got = ::read(m_descriptor, part, sizeof(part));
        text.append(part, static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
        return got;
    }

private:
    const int m_descriptor;
};

// Files are read in the thread that serves requests. Opening a named pipe blocks until another process opens it for
// writing, so a path that has become a pipe would block the node and all its callers while its process seems to run.
// The file is therefore opened without blocking, and its type is checked on the open descriptor, so that a change of
// the path in between has no effect.
std::string readFile(const std::string &path, ResultCode code)
{
    const OpenFile file(path);
    if (!file.isRegular()) {
        throw base::Error(code, path + " is not a regular file that can be opened");
    }
    std::string text;
    ssize_t got = 0;
    do {
        got = file.readInto(text);
    } while (got > 0 || (got < 0 && errno == EINTR));
    if (got < 0) {
        throw base::Error(code, path + ": " + std::system_category().message(errno));
    }
    return text;
}

std::string trimmed(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    return text;
}

std::string readSecret(const Json &document)
{
    constexpr std::size_t minSecretBytes = 16;
    std::string secret;
    if (document.contains("secretFile")) {
        secret = trimmed(readFile(document["secretFile"].get<std::string>(), ResultCode::SettingsSecretMissing));
    } else if (const char *value = std::getenv(secretEnvironmentVariable)) {
        secret = value;
    }
    if (secret.size() < minSecretBytes) {
        throw base::Error(ResultCode::SettingsSecretMissing,
                          "the secret must have at least 16 bytes; set secretFile or "
                              + std::string(secretEnvironmentVariable));
    }
    return secret;
}

std::string nameOf(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

}

std::string readSettingsText(const std::string &path)
{
    return readFile(path, ResultCode::SettingsUnreadable);
}

NodeSettings parseSettings(std::string_view json, const std::string &file, const SettingsOverrides &overrides)
{
    return settingsOf(checkedDocument(json, file, overrides), file);
}

NodeSettings readSettings(const std::string &path, const SettingsOverrides &overrides)
{
    const std::string file = nameOf(path);
    const Json document = checkedDocument(readSettingsText(path), file, overrides);
    NodeSettings settings = settingsOf(document, file);
    settings.secret = readSecret(document);
    return settings;
}

}

#pragma once

#include <string_view>

/// Every numbered result of the system. `docs/ERRORS.md` explains each, and a test checks that the two agree.
namespace papayastep::base {

// The number, the name in code and the short text of each result. Numbers are never reused:
// 1xxx configuration, 2xxx node settings, 3xxx requests of callers, 4xxx hops between nodes,
// 5xxx messages between nodes, 6xxx the platform, 7xxx state charts and programs.
#define PAPAYASTEP_RESULT_CODES(X) \
    X(0, Ok, "success") \
    X(1001, ConfigFolderEmpty, "the configuration folder has no files") \
    X(1002, ConfigFileUnreadable, "a configuration file cannot be read") \
    X(1003, ConfigNotJson, "a configuration file is not JSON") \
    X(1004, ConfigSchema, "a configuration file does not follow the schema") \
    X(1005, ConfigDuplicate, "an entry is defined twice") \
    X(1006, ConfigUnknownReference, "an entry refers to something that is not defined") \
    X(1007, ConfigContradiction, "two entries contradict each other") \
    X(1008, ConfigValueTooLarge, "a configuration file is larger than a platform value may be") \
    X(1009, ConfigOutOfRange, "a number is outside its allowed range") \
    X(1010, ConfigUnknownField, "a field is not known") \
    X(1011, ConfigRevisionNotNewer, "a configuration is not newer than the one in force") \
    X(1012, ConfigFileName, "a configuration file has a name that is not allowed") \
    X(2001, SettingsUnreadable, "the settings file cannot be read") \
    X(2002, SettingsSchema, "the settings do not follow the schema") \
    X(2003, SettingsSecretMissing, "the fleet secret is missing or too short") \
    X(2004, SettingsAddressInUse, "an address of the settings cannot be listened on") \
    X(2005, CommandLine, "the command line cannot be understood") \
    X(3001, RequestMalformed, "the request is not well-formed HTTP") \
    X(3002, RequestAmbiguousLength, "the length of the request body is ambiguous") \
    X(3003, RequestHeaderTooLarge, "the request header is too large") \
    X(3004, RequestBodyTooLarge, "the request body is too large") \
    X(3005, RequestTooSlow, "the request was not received in time") \
    X(3006, RequestReservedHeader, "the request carries a header reserved for the system") \
    X(3007, KeyMissing, "the request carries no key") \
    X(3008, KeyUnknown, "the key is not known or was withdrawn") \
    X(3009, RouteUnknown, "no route matches the request") \
    X(3010, RateExceeded, "the workspace is over its rate") \
    X(3011, NoBackendServer, "no backend server can take the request") \
    X(3012, DeadlineExceeded, "the deadline passed") \
    X(3013, BackendServerOverloaded, "the backend servers are overloaded") \
    X(3014, AnswerIncomplete, "the answer of the backend server broke off") \
    X(3015, OutcomeUnknown, "the request may or may not have run") \
    X(3016, NodeDraining, "the node is shutting down") \
    X(3017, NodeNotReady, "the node has no configuration yet") \
    X(3018, TooManyConnections, "the node has too many connections") \
    X(3019, IdempotencyKeyReused, "the idempotency key came before with another request") \
    X(3020, IdempotencyHomeUnreachable, "the home of the idempotency key cannot be asked") \
    X(3021, IdempotencyHomeFresh, "the home of the idempotency key may have forgotten earlier runs") \
    X(3022, IdempotencyRunning, "a request with this idempotency key is still running") \
    X(3023, IdempotencyLedgerFull, "the idempotency ledger is full") \
    X(3024, IdempotencyKeyInvalid, "the idempotency key is not valid") \
    X(3025, RetryBudgetSpent, "the retry budget is spent") \
    X(3026, AnswerTooLarge, "the answer of the backend server is too large") \
    X(3027, AnswerStatusInvalid, "the answer of the backend server has no valid status") \
    X(4001, HopUnauthenticated, "the hop request is not authenticated") \
    X(4002, HopMalformed, "the hop request is malformed") \
    X(4003, HopRevisionBehind, "the entry node holds an older configuration") \
    X(4004, HopQueueFull, "the queue of the backend server is full") \
    X(4005, HopQueueTimeout, "the request could not start before its deadline") \
    X(4006, HopBackendServerGone, "the backend server is draining or not served here") \
    X(4007, HopCancelled, "the attempt was cancelled before it started") \
    X(4008, HopUnacknowledged, "the serving node did not acknowledge the attempt") \
    X(4009, HopBackendServerRefused, "the backend server refused the connection") \
    X(4010, HopBackendServerShed, "the backend server shed the request") \
    X(4011, HopReplayed, "the attempt was seen before") \
    X(4012, HopBackendServerEjected, "the backend server is ejected") \
    X(4013, HopBackendServerReplaced, "another backend server has the address by now") \
    X(4014, HopZoneEvacuated, "the availability zone of the backend server is evacuated") \
    X(4015, HopBackendServerLimited, "the backend server takes no more requests within the limit that it named") \
    X(4016, HopLimitInvalid, "the backend server named a limit that is not a number of requests") \
    X(4017, RequestEndsServers, "backend servers ended while they ran this request") \
    X(5001, MessageMalformed, "a message between nodes is malformed") \
    X(5002, MessageUnauthenticated, "a message between nodes is not authenticated") \
    X(5003, MessageUnknownLayout, "a message between nodes has an unknown layout") \
    X(5004, MessageReplayed, "a message between nodes was seen before") \
    X(5005, MessageUnknownKind, "a message between nodes has an unknown kind") \
    X(5006, MessageFromStranger, "a message came from a VM that is not listed") \
    X(6001, PlatformUnreachable, "the platform cannot be reached") \
    X(6002, PlatformAnswerInvalid, "the answer of the platform is invalid") \
    X(6003, PlatformStale, "the platform offers an older revision than the one in force") \
    X(6004, PlatformHistoryGone, "the platform no longer has the changes that were asked for") \
    X(6005, DirectoryEntryInvalid, "an entry of the directory of backend servers cannot be used") \
    X(7001, StateChartInvalid, "a state chart is invalid") \
    X(7002, StateChartNoTransition, "a state has no transition for an event") \
    X(7003, Internal, "an internal error")

/// A numbered result. The number is stable across releases.
enum class ResultCode : int {
#define PAPAYASTEP_RESULT_CODE_ENTRY(number, name, text) name = number,
    PAPAYASTEP_RESULT_CODES(PAPAYASTEP_RESULT_CODE_ENTRY)
#undef PAPAYASTEP_RESULT_CODE_ENTRY
};

/// The number of `code`, as it appears in answers and documents.
constexpr int number(ResultCode code)
{
    return static_cast<int>(code);
}

/// The name of `code` in this source, or "Unknown" for a number that is not in the table.
std::string_view name(ResultCode code);

/// One short English phrase that says what `code` means.
std::string_view text(ResultCode code);

}

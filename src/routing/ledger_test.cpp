#include "papayastep/routing/ledgerclient.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace papayastep;
using namespace papayastep::routing;
using namespace std::chrono_literals;
using base::ResultCode;

namespace {

const base::ServiceId service("counter");
const base::WorkspaceId workspace("north");
constexpr base::Duration retention = 5h;

base::VmId vm(int index)
{
    return base::VmId("vm" + std::to_string(index));
}

config::ConfigurationPtr configuration(base::Revision revision, const std::vector<int> &vms)
{
    config::Configuration::Parts parts;
    config::Service counter;
    counter.id = service;
    parts.services = {counter};
    config::Route route;
    route.id = base::RouteId("refunds");
    route.service = service;
    route.retention = retention;
    parts.routes = {route};
    for (const int index : vms) {
        config::BackendServer server;
        server.id = base::BackendServerId("server" + std::to_string(index));
        server.service = service;
        server.vm = vm(index);
        parts.backendServers.push_back(server);
    }
    return std::make_shared<const config::Configuration>(revision, std::move(parts));
}

/// Returns a UUID of version 7 created at `time`.
std::string timedKey(base::WallTime time, int number)
{
    const auto milliseconds = static_cast<unsigned long long>(
        std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()).count());
    char text[64];
    std::snprintf(
        text, sizeof(text), "%08llx-%04llx-7000-8000-%012x", milliseconds >> 16, milliseconds & 0xffff, number);
    return text;
}

struct Node
{
    std::unique_ptr<LedgerHome> home;
    std::unique_ptr<LedgerClient> client;
};

struct Message
{
    int from = 0;
    wire::Outgoing outgoing;
};

/// Several nodes and the messages between them, which are delivered only by the test.
struct Fleet
{
    base::ManualClock clock;
    LedgerSettings settings;
    std::vector<Node> nodes;
    std::vector<Message> messages;
    config::ConfigurationPtr latest;
    std::map<base::RequestId, ClaimAnswer> verdicts;
    std::set<base::RequestId> recorded;
    std::uint64_t lastRequest = 0;
    base::Incarnation lastIncarnation = 0;

    explicit Fleet(int count = 4)
    {
        settings.noEarlierRuns = true;
        std::vector<int> all;
        all.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            all.push_back(i);
        }
        latest = configuration(1, all);
        nodes.resize(static_cast<std::size_t>(count));
        for (const int i : all) {
            start(i);
        }
        settings.noEarlierRuns = false;
        deliverAll();
    }
    Node &node(int index)
    {
        return nodes[static_cast<std::size_t>(index)];
    }
    /// Starts a new process of a node, without the records of the earlier one.
    void start(int index)
    {
        Node &fresh = node(index);
        fresh.home = std::make_unique<LedgerHome>(clock, vm(index), ++lastIncarnation, settings);
        fresh.client = std::make_unique<LedgerClient>(clock, vm(index), *fresh.home, settings);
        apply(index, latest);
    }
    void apply(int index, const config::ConfigurationPtr &revision)
    {
        node(index).home->applyConfiguration(revision);
        node(index).client->applyConfiguration(revision);
        collect();
    }
    void applyToAll(const config::ConfigurationPtr &revision)
    {
        latest = revision;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            apply(static_cast<int>(i), revision);
        }
    }
    void collect()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i].home) {
                continue;
            }
            const auto take = [&](std::vector<wire::Outgoing> taken) {
                for (auto &outgoing : taken) {
                    messages.push_back(Message{static_cast<int>(i), std::move(outgoing)});
                }
            };
            take(nodes[i].home->takeMessages());
            take(nodes[i].client->takeMessages());
            for (auto &decision : nodes[i].client->takeDecisions()) {
                BOOST_TEST(!verdicts.contains(decision.request));
                verdicts[decision.request] = decision.answer;
            }
            for (const auto &request : nodes[i].client->takeRecorded()) {
                BOOST_TEST(!nodes[i].client->isReporting(request));
                recorded.insert(request);
            }
        }
    }
    void deliver(const Message &message)
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (vm(static_cast<int>(i)) != message.outgoing.to) {
                continue;
            }
            const auto kind = message.outgoing.kind;
            const bool forEntry
                = kind == wire::MessageKind::LedgerClaimResult || kind == wire::MessageKind::LedgerCompleteResult;
            if (forEntry) {
                nodes[i].client->receive(vm(message.from), kind, message.outgoing.payload);
            } else {
                nodes[i].home->receive(vm(message.from), kind, message.outgoing.payload);
            }
        }
        collect();
    }
    /// Delivers all messages, including those sent in response. Messages to and from nodes in `unreachable` are lost.
    void deliverAll(const std::set<int> &unreachable = {})
    {
        while (!messages.empty()) {
            const Message message = messages.front();
            messages.erase(messages.begin());
            const bool isCut = std::any_of(unreachable.begin(), unreachable.end(), [&](int index) {
                return index == message.from || vm(index) == message.outgoing.to;
            });
            if (!isCut) {
                deliver(message);
            }
        }
    }
    void tick(base::Duration step)
    {
        clock.advance(step);
        for (auto &each : nodes) {
            each.home->tick();
            each.client->tick();
        }
        collect();
    }
    base::RequestId claim(int entry, const std::string &key, const std::string &body = "refund 7")
    {
        ClaimRequest request;
        request.request = base::RequestId{1, ++lastRequest};
        request.workspace = workspace;
        request.key = key;
        request.digest = bodyDigest("POST", "/refunds", body);
        request.service = service;
        request.retention = retention;
        request.deadline = clock.now() + 10s;
        node(entry).client->claim(request);
        collect();
        return request.request;
    }
    /// Claims a key, delivers all messages, waits while the home is undecided, and returns the verdict as text.
    std::string ask(int entry,
                    const std::string &key,
                    const std::string &body = "refund 7",
                    const std::set<int> &unreachable = {})
    {
        const auto request = claim(entry, key, body);
        deliverAll(unreachable);
        for (int i = 0; i < 30 && !verdicts.contains(request); ++i) {
            tick(100ms);
            deliverAll(unreachable);
        }
        const auto found = verdicts.find(request);
        if (found == verdicts.end()) {
            return "undecided";
        }
        const ClaimAnswer &answer = found->second;
        if (answer.verdict == ClaimVerdict::Refuse) {
            return std::string(name(answer.refusal.outcome)) + " " + std::string(base::name(answer.refusal.code));
        }
        return answer.verdict == ClaimVerdict::Run ? "run" : "answer " + answer.answer.body;
    }
    base::RequestId lastAsked() const
    {
        return base::RequestId{1, lastRequest};
    }
    void answer(int entry, const base::RequestId &request, const std::string &body)
    {
        node(entry).client->completeWithAnswer(request, StoredAnswer{200, {}, body});
        collect();
        deliverAll();
    }
    /// Returns a key whose home is `index` among all nodes.
    std::string keyAt(int index, int salt = 0) const
    {
        for (int i = salt * 1000;; ++i) {
            std::string key = "key" + std::to_string(i);
            if (homeOf(keyHash(workspace, key), latest->vmsOf(service)) == vm(index)) {
                return key;
            }
        }
    }
    /// Returns a key whose home is `index` among all nodes, and `other` among `rest`.
    std::string keyMoving(int index, const std::vector<int> &rest, int other) const
    {
        std::vector<base::VmId> left;
        std::transform(rest.begin(), rest.end(), std::back_inserter(left), vm);
        for (int salt = 0;; ++salt) {
            std::string key = keyAt(index, salt);
            if (homeOf(keyHash(workspace, key), left) == vm(other)) {
                return key;
            }
        }
    }
    std::string timedKeyAt(int index, base::WallTime time) const
    {
        for (int i = 0;; ++i) {
            std::string key = timedKey(time, i);
            if (homeOf(keyHash(workspace, key), latest->vmsOf(service)) == vm(index)) {
                return key;
            }
        }
    }
};

}

BOOST_FIXTURE_TEST_CASE(ledger_withRepeat_returnsTheStoredAnswer, Fleet)
{
    for (const int home : {0, 1}) { // The home is in the entry's own process first, and then on another node.
        const auto key = keyAt(home);
        BOOST_TEST(ask(0, key) == "run");
        BOOST_TEST(ask(2, key) == "unknown IdempotencyRunning");
        answer(0, base::RequestId{1, lastRequest - 1}, "paid");
        BOOST_TEST(ask(2, key) == "answer paid");
        BOOST_TEST(ask(0, key, "refund 8") == "not-run IdempotencyKeyReused");
    }
}

// A caller has its answer and repeats the request at once through the node that is home of the key. The repeat arrives
// before the report of the first run and would be told to wait. So the entry must report the run as recorded only after
// the home has acknowledged it.
BOOST_FIXTURE_TEST_CASE(ledger_withReportInTransit_isNotRecorded, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    const auto report = std::exchange(messages, {});
    BOOST_TEST(ask(1, key) == "unknown IdempotencyRunning");
    BOOST_TEST(node(0).client->isReporting(request));
    BOOST_TEST(!recorded.contains(request));
    deliver(report.front());
    deliverAll();
    BOOST_TEST(recorded.contains(request));
    BOOST_TEST(ask(1, key) == "answer paid");
}

// A home stops as planned, and its next home acts already when the report of a run reaches the stopping one. If the
// stopping home acknowledged it at once, the caller would have its answer, but the next home would tell a repeat to
// wait.
BOOST_FIXTURE_TEST_CASE(ledger_withReportToStoppingHome_isRecordedOnlyWhenTheNextHasIt, Fleet)
{
    const auto key = keyMoving(1, {0, 2, 3}, 3);
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    node(1).home->beginHandOver();
    collect();
    deliverAll();
    BOOST_TEST(node(1).home->handOverDone());
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    const Message report = messages.front();
    messages.clear();
    deliver(report);
    std::vector<Message> toNext;
    for (const Message &message : std::exchange(messages, {})) {
        if (message.outgoing.to == vm(0)) {
            deliver(message);
        } else {
            toNext.push_back(message);
        }
    }
    BOOST_TEST(!recorded.contains(request));
    BOOST_TEST(ask(2, key, "refund 7", {0, 1}) == "unknown IdempotencyRunning");
    for (const Message &message : toNext) {
        deliver(message);
    }
    deliverAll();
    tick(100ms);
    deliverAll();
    BOOST_TEST(recorded.contains(request));
    BOOST_TEST(ask(2, key) == "answer paid");
}

// A change moves a key back to its home, but its home in between has not received the change. If the home acknowledged
// a report at once, the other one would tell a repeat that the run has not ended although the caller has its answer.
BOOST_FIXTURE_TEST_CASE(ledger_withEarlierHomeNotAnswering_isNotRecorded, Fleet)
{
    const auto key = keyMoving(1, {0, 2, 3}, 2);
    applyToAll(configuration(2, {0, 2, 3}));
    deliverAll();
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    const auto back = configuration(3, {0, 1, 2, 3});
    apply(0, back);
    apply(1, back);
    const auto fetches = std::exchange(messages, {});
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    deliverAll();
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning"); // It uses the earlier configuration.
    BOOST_TEST(!recorded.contains(request));
    for (const Message &fetch : fetches) {
        deliver(fetch);
    }
    deliverAll();
    tick(100ms);
    deliverAll();
    BOOST_TEST(recorded.contains(request));
    applyToAll(back);
    deliverAll();
    BOOST_TEST(ask(3, key) == "answer paid");
}

// A caller's first attempt times out and its library sends the refund again through another entry at the same moment.
// Since the key has one home, only one of the two gets the verdict Run.
BOOST_FIXTURE_TEST_CASE(ledger_withTwoEntriesAtOnce_runsOne, Fleet)
{
    const auto key = keyAt(3);
    const auto first = claim(0, key);
    const auto second = claim(1, key);
    deliverAll();
    BOOST_TEST((verdicts[first].verdict == ClaimVerdict::Run) != (verdicts[second].verdict == ClaimVerdict::Run));
}

// The home's verdict is lost. The entry resends its claim and must get the same verdict, or the refund would be refused
// although it was not paid.
BOOST_FIXTURE_TEST_CASE(ledger_withVerdictLost_resendsIt, Fleet)
{
    const auto request = claim(0, keyAt(1));
    deliver(messages.front());
    messages.clear();
    tick(100ms);
    deliverAll();
    BOOST_TEST((verdicts[request].verdict == ClaimVerdict::Run));
}

// The entry crashes after the verdict Run, so it is unknown whether the refund was paid. A repeat must get this
// outcome.
BOOST_FIXTURE_TEST_CASE(ledger_withEntryCrashed_reportsUnknown, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key) == "run");
    start(0);
    deliverAll();
    BOOST_TEST(ask(2, key) == "unknown IdempotencyRunning");
    tick(13s);
    BOOST_TEST(ask(2, key) == "unknown OutcomeUnknown");
    tick(6h);
    BOOST_TEST(ask(2, key) == "run");
}

// The home can't be reached, and the entry refuses with not-run. When the link works again, the key must still be free.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeUnreachable_refusesAndReleasesTheKey, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key, "refund 7", {1}) == "not-run IdempotencyHomeUnreachable");
    tick(100ms);
    deliverAll();
    BOOST_TEST(ask(2, key) == "run");
}

// The claim reaches the home, but the entry abandons it before the verdict arrives. A later verdict must not make a
// refused refund run, and the key must be free for the caller's repeat.
BOOST_FIXTURE_TEST_CASE(ledger_withVerdictAfterClaimTimeout_doesNotRunIt, Fleet)
{
    const auto key = keyAt(1);
    const auto request = claim(0, key);
    const Message late = messages.front();
    messages.clear();
    for (int i = 0; i < 21; ++i) {
        tick(100ms);
        messages.clear();
    }
    BOOST_TEST((verdicts[request].refusal.code == ResultCode::IdempotencyHomeUnreachable));
    tick(100ms);
    deliverAll();
    deliver(late);
    deliverAll();
    BOOST_TEST(ask(2, key) == "run");
}

// A node crashes and loses its records of granted refunds. A repeat that it treated as new would pay a second time.
BOOST_FIXTURE_TEST_CASE(ledger_afterCrashOfHome_refusesKeysThatMayHaveRun, Fleet)
{
    const auto key = keyAt(1);
    const auto timed = timedKeyAt(1, clock.wallNow());
    BOOST_TEST(ask(0, key) == "run");
    BOOST_TEST(ask(0, timed) == "run");
    start(1);
    deliverAll();
    BOOST_TEST(ask(0, key) == "not-run IdempotencyHomeFresh");
    BOOST_TEST((verdicts[lastAsked()].refusal.retryClass == RetryClass::WithNewKey));
    BOOST_TEST(ask(0, timed) == "not-run IdempotencyHomeFresh");
    BOOST_TEST(ask(0, keyAt(2)) == "run");
    tick(30s);
    BOOST_TEST(ask(0, timed) == "not-run IdempotencyHomeFresh");
    BOOST_TEST(ask(0, timedKeyAt(1, clock.wallNow())) == "run");
    tick(6h);
    BOOST_TEST(ask(0, keyAt(1, 1)) == "run");
}

// A caller's clock is ahead. After a crash of the home its old keys would look new, so they never run.
BOOST_FIXTURE_TEST_CASE(ledger_withKeyFromTheFuture_refusesIt, Fleet)
{
    BOOST_TEST(ask(0, timedKey(clock.wallNow() + 1min, 1)) == "not-run IdempotencyKeyInvalid");
    BOOST_TEST(ask(0, "a key with spaces") == "not-run IdempotencyKeyInvalid");
}

// At a planned stop the next home acts while the node is down, and returns all records after its restart.
BOOST_FIXTURE_TEST_CASE(ledger_overPlannedRestart_keepsItsRecords, Fleet)
{
    const auto key = keyAt(1);
    const auto during = keyAt(1, 1);
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    node(1).home->beginHandOver();
    collect();
    deliverAll();
    BOOST_TEST(node(1).home->handOverDone());
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    for (int i = 0; i < 4; ++i) {
        tick(100ms);
        deliverAll({1});
    }
    BOOST_TEST(ask(2, key, "refund 7", {1}) == "answer paid");
    BOOST_TEST(ask(0, during, "refund 7", {1}) == "run");
    start(1);
    deliverAll();
    BOOST_TEST(node(1).home->hasResolvedEarlierHomes(service));
    BOOST_TEST(ask(2, key) == "answer paid");
    BOOST_TEST(ask(2, during) == "unknown IdempotencyRunning");
    BOOST_TEST(ask(2, keyAt(1, 2)) == "run");
    start(1); // This restart is unplanned, and the copy at the siblings is too old.
    deliverAll();
    BOOST_TEST(ask(2, keyAt(1, 2)) == "not-run IdempotencyHomeFresh");
}

// A node stops as planned, its next home acts for it, and crashes. Resent parts of the hand-over then reach the new
// process, which must not act, as it lacks the records of what its earlier process granted.
BOOST_FIXTURE_TEST_CASE(ledger_withNextHomeRestarted_doesNotActAgain, Fleet)
{
    const auto key = keyAt(1);
    const auto next = nextHomeOf(keyHash(workspace, key), latest->vmsOf(service));
    const int nextIndex = next.value().back() - '0';
    const int entry = nextIndex == 0 ? 2 : 0;
    node(1).home->beginHandOver();
    collect();
    std::vector<Message> parts;
    while (!messages.empty()) {
        const Message message = messages.front();
        messages.erase(messages.begin());
        deliver(message);
        if (message.outgoing.kind == wire::MessageKind::LedgerHandOver) {
            parts.push_back(message);
        }
    }
    BOOST_TEST(ask(entry, key, "refund 7", {1}) == "run");
    start(nextIndex);
    deliverAll();
    for (const Message &part : parts) {
        deliver(part);
    }
    deliverAll();
    BOOST_TEST(ask(entry, key, "refund 7", {1}) == "not-run IdempotencyHomeUnreachable");
}

// While a next home acts for a stopped node, two changes move the key to a third VM and back. The next home skips the
// first change, and would grant a refund that the third VM has granted already.
BOOST_FIXTURE_TEST_CASE(ledger_withActingHomeThatSkippedARevision_stopsActing, Fleet)
{
    const auto key = keyAt(1);
    const int next = nextHomeOf(keyHash(workspace, key), latest->vmsOf(service)).value().back() - '0';
    std::vector<int> others;
    for (const int index : {0, 2, 3}) {
        if (index != next) {
            others.push_back(index);
        }
    }
    node(1).home->beginHandOver();
    collect();
    deliverAll();
    for (const int index : others) {
        apply(index, configuration(2, others));
    }
    deliverAll();
    BOOST_TEST(ask(others[0], key) == "run");
    apply(next, configuration(3, {0, 1, 2, 3}));
    BOOST_TEST(ask(next, key) != "run");
}

// A change of the configuration moves a key to a new VM, while an entry still holds the old configuration. Both homes
// would grant the refund if the new one did not fetch from the old one first.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeMovedByConfiguration_fetchesFromTheOldOne, Fleet)
{
    const auto without = configuration(2, {0, 1, 2});
    applyToAll(without);
    deliverAll();
    const auto with = configuration(3, {0, 1, 2, 3});
    const auto earlier = latest;
    latest = with;
    const auto key = keyAt(3);
    const auto other = keyAt(3, 1);
    latest = earlier;
    BOOST_TEST(ask(0, key) == "run");

    apply(3, with);
    messages.clear(); // The first fetch is lost.
    BOOST_TEST(ask(3, key, "refund 7", {0, 1, 2}) == "not-run IdempotencyHomeFresh");
    tick(1s);
    deliverAll();
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning");
    BOOST_TEST(ask(3, other) == "run");
    BOOST_TEST(ask(1, other)
               == "not-run IdempotencyHomeUnreachable"); // The entry and the old home hold the old configuration.
    applyToAll(with);
    deliverAll();
    BOOST_TEST(ask(1, other) == "unknown IdempotencyRunning");
}

// A home skips a change that moved its keys to another VM, and receives the next one that moves them back. By its
// configurations it was home all the time, while the other VM has granted a refund.
BOOST_FIXTURE_TEST_CASE(ledger_withRevisionSkipped_fetchesWhatRanMeanwhile, Fleet)
{
    const auto key = keyAt(1);
    const auto moved = configuration(2, {0, 2, 3});
    for (const int index : {0, 2, 3}) {
        apply(index, moved);
    }
    deliverAll();
    BOOST_TEST(ask(0, key) == "run");
    const auto back = configuration(3, {0, 1, 2, 3});
    apply(1, back);
    BOOST_TEST(ask(1, key) == "unknown IdempotencyRunning");
}

// Two changes arrive at once, and the home by the first never receives it. The home by the second must also fetch from
// the homes before, since the VM that was home before both has granted a refund.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeThatNeverHeldItsRevision_fetchesFromThoseBefore, Fleet)
{
    std::string key;
    for (int i = 0; key.empty(); ++i) {
        const auto hash = keyHash(workspace, "move" + std::to_string(i));
        const bool fits = homeOf(hash, {vm(0), vm(1), vm(2)}) == vm(1) && homeOf(hash, {vm(0), vm(2)}) == vm(2)
            && homeOf(hash, {vm(0), vm(3)}) == vm(3);
        key = fits ? "move" + std::to_string(i) : "";
    }
    applyToAll(configuration(2, {0, 1, 2}));
    deliverAll();
    BOOST_TEST(ask(0, key) == "run");
    apply(3, configuration(3, {0, 2}));
    apply(3, configuration(4, {0, 3}));
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning");
}

// A node restarts while it is not a VM of the service, and rejoins it. Its earlier process granted a refund of which no
// other node has a record.
BOOST_FIXTURE_TEST_CASE(ledger_afterRestartOutsideTheService_refusesKeysThatMayHaveRun, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key) == "run");
    const auto all = latest;
    latest = configuration(2, {0, 2, 3});
    start(1);
    messages.clear();
    apply(1, configuration(3, {0, 1, 2, 3}));
    BOOST_TEST(ask(1, key) == "not-run IdempotencyHomeFresh");
}

// A VM that never served before joins the service. Its keys must not be refused for a whole retention as after a crash.
BOOST_FIXTURE_TEST_CASE(ledger_withNewVmAmongLongTimeMembers_grantsAtOnce, Fleet)
{
    applyToAll(configuration(2, {0, 1, 2}));
    deliverAll();
    tick(6h);
    start(3);
    applyToAll(configuration(3, {0, 1, 2, 3}));
    deliverAll();
    BOOST_TEST(ask(0, keyAt(3)) == "run");
}

// A dead VM must not block its keys permanently. Once the platform no longer lists it, it has stopped, and keys created
// since then are certainly new.
BOOST_FIXTURE_TEST_CASE(ledger_withEarlierHomeGone_runsOnlyNewerKeys, Fleet)
{
    const auto old = timedKeyAt(1, clock.wallNow());
    config::VmList list;
    for (const int index : {0, 2, 3}) {
        config::VmEntry entry;
        entry.id = vm(index);
        list.vms.push_back(entry);
    }
    for (const int index : {0, 2, 3}) {
        apply(index, configuration(2, {0, 2, 3}));
        node(index).home->applyVmList(list);
    }
    deliverAll({1});
    BOOST_TEST(ask(0, old, "refund 7", {1}) == "not-run IdempotencyHomeFresh");
    tick(11s);
    tick(30s);
    deliverAll({1});
    BOOST_TEST(ask(0, old, "refund 7", {1}) == "not-run IdempotencyHomeFresh");
    BOOST_TEST(ask(0, timedKeyAt(1, clock.wallNow()), "refund 7", {1}) == "run");
}

// One workspace sends an unlimited number of keys. If older records were removed, their repeats would run twice. So the
// workspace is refused, and the others still have room.
BOOST_AUTO_TEST_CASE(ledger_whenFull_refusesInsteadOfRemovingRecords)
{
    base::ManualClock clock;
    LedgerSettings settings;
    settings.maxBytes = 4000;
    settings.maxBytesOfWorkspace = 2000;
    IdempotencyLedger ledger(clock, settings);
    LedgerClaim claim;
    claim.workspace = workspace;
    claim.retention = base::Duration(1h).count();
    int granted = 0;
    for (std::uint8_t i = 1; i < 100; ++i) {
        claim.key.bytes[0] = i;
        const auto answer = ledger.grant(claim);
        granted += answer.verdict == ClaimVerdict::Run ? 1 : 0;
        const bool isFull = answer.refusal.code == ResultCode::IdempotencyLedgerFull;
        BOOST_TEST((answer.verdict == ClaimVerdict::Run || isFull));
    }
    BOOST_TEST(granted > 5);
    BOOST_TEST(granted < 20);
    BOOST_TEST(ledger.bytesOf(workspace) <= 2000u);
    claim.workspace = base::WorkspaceId("south");
    BOOST_TEST((ledger.grant(claim).verdict == ClaimVerdict::Run));
    LedgerRecord report = ledger.record(claim.key).value();
    report.state = static_cast<std::uint8_t>(RecordState::Answered);
    report.answer.body = std::string(3000, 'x');
    BOOST_TEST(ledger.complete(report));
    claim.request.low = 1;
    BOOST_TEST((ledger.lookUp(claim)->refusal.code == ResultCode::AnswerTooLarge));
    clock.advance(2h);
    ledger.tick();
    BOOST_TEST(ledger.size() == 0u);
    BOOST_TEST(ledger.bytes() == 0u);
}

// A home without a record of a key first receives the report that one request with it was abandoned, and then that
// another one ran. If it kept the first report, the answer would be lost although its entry got an acknowledgement.
BOOST_AUTO_TEST_CASE(ledger_withAnswerAfterReleaseOfAnotherRequest_keepsTheAnswer)
{
    base::ManualClock clock;
    IdempotencyLedger ledger(clock, {});
    LedgerRecord report;
    report.key.bytes[0] = 1;
    report.workspace = workspace;
    report.service = service;
    report.remaining = base::Duration(10s).count();
    report.retention = base::Duration(1h).count();
    report.request.low = 2;
    report.state = static_cast<std::uint8_t>(RecordState::Released);
    BOOST_TEST(ledger.complete(report));
    report.request.low = 1;
    report.state = static_cast<std::uint8_t>(RecordState::Answered);
    report.answer.body = "paid";
    BOOST_TEST(ledger.complete(report));
    LedgerClaim repeat;
    repeat.key = report.key;
    repeat.workspace = workspace;
    repeat.request.low = 3;
    BOOST_TEST_REQUIRE(ledger.lookUp(repeat).has_value());
    BOOST_TEST(ledger.lookUp(repeat)->answer.body == "paid");
}

namespace {

/// Returns a number in [0, size), independently of the size of the test case.
int pick(int size)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, size));
}

/// Returns `vms` after one VM has left the service or joined it; at least two remain.
std::vector<int> changed(std::vector<int> vms)
{
    const int index = pick(4);
    const auto found = std::find(vms.begin(), vms.end(), index);
    if (found == vms.end()) {
        vms.push_back(index);
    } else if (vms.size() > 2) {
        vms.erase(found);
    }
    return vms;
}

}

// Combines faults in random order: reordered, lost and repeated messages, crashes, planned stops, homes that move while
// claims are in transit, and nodes that skip revisions. A caller would notice an error as a refund paid twice or, with
// its answer received, as a repeat that is told that the run has not ended. At most two of four nodes lose their
// records (docs/design/idempotency.md states what holds when all do); a crash may also lose an answer.
RC_BOOST_PROP(ledger_underRandomFaults_runsEachKeyAtMostOnce, ())
{
    Fleet fleet;
    std::vector<config::ConfigurationPtr> published{fleet.latest};
    std::vector<std::string> keys{"a", "b", "c", "d"};
    std::vector<int> vms{0, 1, 2, 3};
    const bool keepsRecords
        = pick(2) == 0; // No records are lost and each run is answered, so its repeats must get the answer.
    int crashesLeft = keepsRecords ? 0 : 2;
    struct Run
    {
        int entry;
        std::string key;
        bool open;
        bool ran;
        bool afterAnswer; ///< It was claimed when a caller had the answer, in a history that loses no records.
        bool isAnswered = false; ///< It was reported as answered, in such a history.
    };
    std::map<base::RequestId, Run> asked;
    const int steps = pick(300);
    for (int step = 0; step < steps; ++step) {
        const int action = pick(40);
        const int index = pick(4);
        if (action < 20 && !fleet.messages.empty()) {
            const int at = pick(static_cast<int>(fleet.messages.size()));
            const Message message = fleet.messages[static_cast<std::size_t>(at)];
            if (action != 0) { // Action 0 delivers a copy.
                fleet.messages.erase(fleet.messages.begin() + at);
            }
            if (action != 1) { // Action 1 loses the message.
                fleet.deliver(message);
            }
        } else if (action < 26) {
            if (pick(4) == 0) {
                keys.push_back(timedKey(fleet.clock.wallNow(), step));
            }
            const auto key = *rc::gen::elementOf(keys);
            const bool afterAnswer = std::any_of(asked.begin(), asked.end(), [&](const auto &entry) {
                return entry.second.key == key && entry.second.isAnswered && fleet.recorded.contains(entry.first);
            });
            asked[fleet.claim(index, key)] = Run{index, key, true, false, afterAnswer};
        } else if (action < 31) {
            fleet.tick(*rc::gen::element<base::Duration>(100ms, 300ms, 2s, 20s));
        } else if (action < 33) {
            fleet.deliverAll();
        } else if (action < 35) {
            vms = changed(vms);
            fleet.latest = configuration(published.size() + 1, vms);
            published.push_back(fleet.latest);
        } else if (action < 38) {
            fleet.apply(index, *rc::gen::elementOf(published));
        } else if (action < 39) {
            fleet.node(index).home->beginHandOver();
            fleet.collect();
        } else if (crashesLeft-- > 0) {
            fleet.start(index);
            for (auto &[request, run] : asked) {
                run.open = run.open && run.entry != index;
            }
        }
        for (auto &[request, run] : asked) {
            const auto verdict = fleet.verdicts.find(request);
            if (!run.open || verdict == fleet.verdicts.end()) {
                continue;
            }
            run.ran = run.ran || verdict->second.verdict == ClaimVerdict::Run;
            if (!run.ran) {
                run.open = false;
            } else if (pick(4) == 0) {
                run.open = false;
                const int end = keepsRecords ? 0 : pick(3);
                auto &client = *fleet.node(run.entry).client;
                if (end == 0) {
                    run.isAnswered = keepsRecords;
                    client.completeWithAnswer(request, StoredAnswer{200, {}, run.key});
                } else if (end == 1) {
                    client.completeUnknown(request);
                } else {
                    client.completeNotRun(request);
                    run.ran = false;
                }
                fleet.collect();
            }
        }
    }
    std::map<std::string, int> runs;
    for (const auto &[request, run] : asked) {
        runs[run.key] += run.ran ? 1 : 0;
        const auto verdict = fleet.verdicts.find(request);
        if (verdict != fleet.verdicts.end() && verdict->second.verdict == ClaimVerdict::Answer) {
            RC_ASSERT(verdict->second.answer.body == run.key);
        }
        if (run.afterAnswer && verdict != fleet.verdicts.end()) {
            RC_ASSERT(verdict->second.refusal.outcome == Outcome::NotRun
                      || verdict->second.verdict != ClaimVerdict::Refuse);
        }
    }
    for (const auto &[key, count] : runs) {
        RC_ASSERT(count <= 1);
    }
}

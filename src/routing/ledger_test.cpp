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

/// A UUID of version 7 made at `time`.
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

/// A few nodes and the messages between them, delivered only when the test says so.
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
        settle();
    }
    Node &node(int index)
    {
        return nodes[static_cast<std::size_t>(index)];
    }
    /// Starts a node anew, without memory.
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
    /// Delivers everything, with what it gives rise to. Nodes in `deaf` neither hear nor speak.
    void settle(const std::set<int> &deaf = {})
    {
        while (!messages.empty()) {
            const Message message = messages.front();
            messages.erase(messages.begin());
            const bool isCut = std::any_of(deaf.begin(), deaf.end(), [&](int index) {
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
    /// Claims, lets all messages arrive, waits while the home is undecided, and names the verdict.
    std::string ask(int entry,
                    const std::string &key,
                    const std::string &body = "refund 7",
                    const std::set<int> &deaf = {})
    {
        const auto request = claim(entry, key, body);
        settle(deaf);
        for (int i = 0; i < 30 && !verdicts.contains(request); ++i) {
            tick(100ms);
            settle(deaf);
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
        settle();
    }
    /// A key whose home is `index` among all nodes.
    std::string keyAt(int index, int salt = 0) const
    {
        for (int i = salt * 1000;; ++i) {
            std::string key = "key" + std::to_string(i);
            if (homeOf(keyHash(workspace, key), latest->vmsOf(service)) == vm(index)) {
                return key;
            }
        }
    }
    /// A key whose home is `index` among all nodes, and `other` where only `rest` are left.
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

BOOST_FIXTURE_TEST_CASE(ledger_withRepeat_answersFromMemory, Fleet)
{
    for (const int home : {0, 1}) { // in the entry's own process, and over messages
        const auto key = keyAt(home);
        BOOST_TEST(ask(0, key) == "run");
        BOOST_TEST(ask(2, key) == "unknown IdempotencyRunning");
        answer(0, base::RequestId{1, lastRequest - 1}, "paid");
        BOOST_TEST(ask(2, key) == "answer paid");
        BOOST_TEST(ask(0, key, "refund 8") == "not-run IdempotencyKeyReused");
    }
}

// A caller has its answer and repeats at once through the node that is home of the key. The repeat overtakes the report
// that the first run ended and would be told to wait; so the entry must know that the home does not have it yet.
BOOST_FIXTURE_TEST_CASE(ledger_withReportUnderWay_isNotRecorded, Fleet)
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
    settle();
    BOOST_TEST(recorded.contains(request));
    BOOST_TEST(ask(1, key) == "answer paid");
}

// A home stops as planned, and its next home acts already when the report of a run reaches the stopping one. If that
// one acknowledged it, the caller would have its answer and the next home would tell its repeat to wait.
BOOST_FIXTURE_TEST_CASE(ledger_withReportToStoppingHome_isRecordedOnlyWhenTheNextHasIt, Fleet)
{
    const auto key = keyMoving(1, {0, 2, 3}, 3);
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    node(1).home->beginHandOver();
    collect();
    settle();
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
    settle();
    tick(100ms);
    settle();
    BOOST_TEST(recorded.contains(request));
    BOOST_TEST(ask(2, key) == "answer paid");
}

// A change brings a key back to its home, and the one that it had meanwhile has not heard of that. If the home
// acknowledged a report at once, the other would tell a repeat that a run has not ended whose caller has its answer.
BOOST_FIXTURE_TEST_CASE(ledger_withEarlierHomeUnheard_isNotRecorded, Fleet)
{
    const auto key = keyMoving(1, {0, 2, 3}, 2);
    applyToAll(configuration(2, {0, 2, 3}));
    settle();
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    const auto back = configuration(3, {0, 1, 2, 3});
    apply(0, back);
    apply(1, back);
    const auto fetches = std::exchange(messages, {});
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    settle();
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning"); // by the configuration before
    BOOST_TEST(!recorded.contains(request));
    for (const Message &fetch : fetches) {
        deliver(fetch);
    }
    settle();
    tick(100ms);
    settle();
    BOOST_TEST(recorded.contains(request));
    applyToAll(back);
    settle();
    BOOST_TEST(ask(3, key) == "answer paid");
}

// A caller's first try times out and its library sends the refund again through another entry at the same moment.
// With a home per key only one of the two is told to run.
BOOST_FIXTURE_TEST_CASE(ledger_withTwoEntriesAtOnce_runsOne, Fleet)
{
    const auto key = keyAt(3);
    const auto first = claim(0, key);
    const auto second = claim(1, key);
    settle();
    BOOST_TEST((verdicts[first].verdict == ClaimVerdict::Run) != (verdicts[second].verdict == ClaimVerdict::Run));
}

// The home's verdict is lost on the way back. The entry asks again and must be told the same, or the refund is refused
// although nobody has paid it.
BOOST_FIXTURE_TEST_CASE(ledger_withVerdictLost_repeatsIt, Fleet)
{
    const auto request = claim(0, keyAt(1));
    deliver(messages.front());
    messages.clear();
    tick(100ms);
    settle();
    BOOST_TEST((verdicts[request].verdict == ClaimVerdict::Run));
}

// The entry dies after it was told to run, so nobody knows whether the refund was paid. A repeat must hear just that.
BOOST_FIXTURE_TEST_CASE(ledger_withEntryDead_becomesUnknown, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key) == "run");
    start(0);
    settle();
    BOOST_TEST(ask(2, key) == "unknown IdempotencyRunning");
    tick(13s);
    BOOST_TEST(ask(2, key) == "unknown OutcomeUnknown");
    tick(6h);
    BOOST_TEST(ask(2, key) == "run");
}

// The home can't be reached. The entry refuses not-run, and when the link is back the key must not be found taken.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeUnreachable_refusesAndFreesTheKey, Fleet)
{
    const auto key = keyAt(1);
    BOOST_TEST(ask(0, key, "refund 7", {1}) == "not-run IdempotencyHomeUnreachable");
    tick(100ms);
    settle();
    BOOST_TEST(ask(2, key) == "run");
}

// The claim reaches the home, but the entry gives up before the verdict comes. A verdict that comes later must not
// make a refused refund run, and the key must be free for the caller's repeat.
BOOST_FIXTURE_TEST_CASE(ledger_withVerdictAfterGivingUp_doesNotRunIt, Fleet)
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
    settle();
    deliver(late);
    settle();
    BOOST_TEST(ask(2, key) == "run");
}

// A node crashes and forgets which refunds it let run. A repeat that it took for new would pay a second time.
BOOST_FIXTURE_TEST_CASE(ledger_afterCrashOfHome_refusesWhatItMayHaveForgotten, Fleet)
{
    const auto key = keyAt(1);
    const auto timed = timedKeyAt(1, clock.wallNow());
    BOOST_TEST(ask(0, key) == "run");
    BOOST_TEST(ask(0, timed) == "run");
    start(1);
    settle();
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

// A caller's clock is ahead. After a crash of the home its old keys would look new, so they never run at all.
BOOST_FIXTURE_TEST_CASE(ledger_withKeyFromTheFuture_refusesIt, Fleet)
{
    BOOST_TEST(ask(0, timedKey(clock.wallNow() + 1min, 1)) == "not-run IdempotencyKeyInvalid");
    BOOST_TEST(ask(0, "a key with spaces") == "not-run IdempotencyKeyInvalid");
}

// A planned stop: the next home acts while the node is away, and gives everything back after its restart.
BOOST_FIXTURE_TEST_CASE(ledger_overPlannedRestart_keepsItsMemory, Fleet)
{
    const auto key = keyAt(1);
    const auto during = keyAt(1, 1);
    BOOST_TEST(ask(0, key) == "run");
    const auto request = lastAsked();
    node(1).home->beginHandOver();
    collect();
    settle();
    BOOST_TEST(node(1).home->handOverDone());
    node(0).client->completeWithAnswer(request, StoredAnswer{200, {}, "paid"});
    collect();
    for (int i = 0; i < 4; ++i) {
        tick(100ms);
        settle({1});
    }
    BOOST_TEST(ask(2, key, "refund 7", {1}) == "answer paid");
    BOOST_TEST(ask(0, during, "refund 7", {1}) == "run");
    start(1);
    settle();
    BOOST_TEST(node(1).home->hasResolvedEarlierHomes(service));
    BOOST_TEST(ask(2, key) == "answer paid");
    BOOST_TEST(ask(2, during) == "unknown IdempotencyRunning");
    BOOST_TEST(ask(2, keyAt(1, 2)) == "run");
    start(1); // this time without a plan, and the siblings' copy is too old
    settle();
    BOOST_TEST(ask(2, keyAt(1, 2)) == "not-run IdempotencyHomeFresh");
}

// A node stops as planned, its next home acts for it, and crashes. Parts of the hand-over that are resent then reach
// the new process, which must not act as if it knew what its earlier one let run.
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
    settle();
    for (const Message &part : parts) {
        deliver(part);
    }
    settle();
    BOOST_TEST(ask(entry, key, "refund 7", {1}) == "not-run IdempotencyHomeUnreachable");
}

// While a next home acts for a stopped node, two changes move the key to a third VM and back. The next home skips the
// first, and would let a refund run that the third VM has let run.
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
    settle();
    for (const int index : others) {
        apply(index, configuration(2, others));
    }
    settle();
    BOOST_TEST(ask(others[0], key) == "run");
    apply(next, configuration(3, {0, 1, 2, 3}));
    BOOST_TEST(ask(next, key) != "run");
}

// A new VM takes a key over from another by a change of the configuration, while an entry still holds the old one.
// Both would let the refund run if the old home did not hear of the change first.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeMovedByConfiguration_asksTheOldOne, Fleet)
{
    const auto without = configuration(2, {0, 1, 2});
    applyToAll(without);
    settle();
    const auto with = configuration(3, {0, 1, 2, 3});
    const auto earlier = latest;
    latest = with;
    const auto key = keyAt(3);
    const auto other = keyAt(3, 1);
    latest = earlier;
    BOOST_TEST(ask(0, key) == "run");

    apply(3, with);
    messages.clear(); // the first fetch is lost
    BOOST_TEST(ask(3, key, "refund 7", {0, 1, 2}) == "not-run IdempotencyHomeFresh");
    tick(1s);
    settle();
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning");
    BOOST_TEST(ask(3, other) == "run");
    BOOST_TEST(ask(1, other) == "not-run IdempotencyHomeUnreachable"); // entry and old home are behind
    applyToAll(with);
    settle();
    BOOST_TEST(ask(1, other) == "unknown IdempotencyRunning");
}

// A home was away during a change that moved its keys to another VM and back. It believes that it was home all the
// time, while the other has let a refund run.
BOOST_FIXTURE_TEST_CASE(ledger_withRevisionSkipped_learnsWhatRanMeanwhile, Fleet)
{
    const auto key = keyAt(1);
    const auto moved = configuration(2, {0, 2, 3});
    for (const int index : {0, 2, 3}) {
        apply(index, moved);
    }
    settle();
    BOOST_TEST(ask(0, key) == "run");
    const auto back = configuration(3, {0, 1, 2, 3});
    apply(1, back);
    BOOST_TEST(ask(1, key) == "unknown IdempotencyRunning");
}

// Two changes come at once, and the home of the first never hears of it. The home of the second must not stop asking
// there, since a refund was let run by the VM that was home before both.
BOOST_FIXTURE_TEST_CASE(ledger_withHomeThatNeverKnewItWas_asksThoseBefore, Fleet)
{
    std::string key;
    for (int i = 0; key.empty(); ++i) {
        const auto hash = keyHash(workspace, "move" + std::to_string(i));
        const bool fits = homeOf(hash, {vm(0), vm(1), vm(2)}) == vm(1) && homeOf(hash, {vm(0), vm(2)}) == vm(2)
            && homeOf(hash, {vm(0), vm(3)}) == vm(3);
        key = fits ? "move" + std::to_string(i) : "";
    }
    applyToAll(configuration(2, {0, 1, 2}));
    settle();
    BOOST_TEST(ask(0, key) == "run");
    apply(3, configuration(3, {0, 2}));
    apply(3, configuration(4, {0, 3}));
    BOOST_TEST(ask(3, key) == "unknown IdempotencyRunning");
}

// A node restarts while it is out of the service, and comes back into it. Its earlier process let a refund run that
// nobody else knows of.
BOOST_FIXTURE_TEST_CASE(ledger_afterRestartOutsideTheService_remembersThatItForgot, Fleet)
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

// A VM that never served before joins. Its keys must not be refused for a whole retention as if it had crashed.
BOOST_FIXTURE_TEST_CASE(ledger_withNewVmAmongElders_trustsIt, Fleet)
{
    applyToAll(configuration(2, {0, 1, 2}));
    settle();
    tick(6h);
    start(3);
    applyToAll(configuration(3, {0, 1, 2, 3}));
    settle();
    BOOST_TEST(ask(0, keyAt(3)) == "run");
}

// A dead VM would block its keys for ever. Once the platform no longer lists it, it has stopped, and keys made since
// then are new for sure.
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
    settle({1});
    BOOST_TEST(ask(0, old, "refund 7", {1}) == "not-run IdempotencyHomeFresh");
    tick(11s);
    tick(30s);
    settle({1});
    BOOST_TEST(ask(0, old, "refund 7", {1}) == "not-run IdempotencyHomeFresh");
    BOOST_TEST(ask(0, timedKeyAt(1, clock.wallNow()), "refund 7", {1}) == "run");
}

// One workspace sends keys without end. Forgetting older ones would let their repeats run twice, so it is refused,
// and the others still find room.
BOOST_AUTO_TEST_CASE(ledger_whenFull_refusesInsteadOfForgetting)
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

// A home that does not know a key hears first that one request with it was given up, and then that another one ran. Had
// it kept to the first, the answer would be lost although its entry was told that it is kept.
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

/// A number in [0, size), at every size of a test case alike.
int pick(int size)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, size));
}

/// One VM leaves the service or joins it; two stay at least.
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

// Everything at once, in any order: crossed, lost and repeated messages, crashes, planned stops, homes that move while
// claims are under way, nodes that skip revisions. A caller would notice a fault as a refund paid twice, or, having its
// answer, would be told on a repeat that the run has not ended. Two of four nodes lose their memory at most
// (docs/design/idempotency.md says what holds when all do); a crash may also forget an answer.
RC_BOOST_PROP(ledger_underRandomFaults_runsEachKeyAtMostOnce, ())
{
    Fleet fleet;
    std::vector<config::ConfigurationPtr> published{fleet.latest};
    std::vector<std::string> keys{"a", "b", "c", "d"};
    std::vector<int> vms{0, 1, 2, 3};
    const bool remembers = pick(2) == 0; // No memory is lost and each run is answered: its repeats must hear that.
    int crashesLeft = remembers ? 0 : 2;
    struct Run
    {
        int entry;
        std::string key;
        bool open;
        bool ran;
        bool afterAnswer; ///< Claimed when a caller had the answer, in a history that loses no memory.
        bool isAnswered = false; ///< Reported so, in such a history.
    };
    std::map<base::RequestId, Run> asked;
    const int steps = pick(300);
    for (int step = 0; step < steps; ++step) {
        const int action = pick(40);
        const int index = pick(4);
        if (action < 20 && !fleet.messages.empty()) {
            const int at = pick(static_cast<int>(fleet.messages.size()));
            const Message message = fleet.messages[static_cast<std::size_t>(at)];
            if (action != 0) { // action 0 delivers a copy
                fleet.messages.erase(fleet.messages.begin() + at);
            }
            if (action != 1) { // action 1 loses it
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
            fleet.settle();
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
                const int end = remembers ? 0 : pick(3);
                auto &client = *fleet.node(run.entry).client;
                if (end == 0) {
                    run.isAnswered = remembers;
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

#!/usr/bin/env python3
"""The history checker: a correct history passes, and each injected violation is reported by its own rule only."""
import unittest

from lab.history import CLIENT_TIMEOUT, History, Withdrawal, answers_forgotten, check


def attempt(action="a-1", **changes):
    made = {"action": action, "workspace": "shops", "method": "POST", "status": 200, "outcome": "", "sent": 100.0,
            "end": 100.1, "request_id": f"r-{action}", "error": "", "target": "127.0.0.1:1", "whole": True, "own": True, "right_workspace": True}
    return {**made, **changes}


def action(name="a-1", **changes):
    return {"action": name, "requestId": f"r-{name}", "workspace": "shops", "server": "counter-1", "time": 100.05,
            **changes}


def refused(name="a-1", **changes):
    return attempt(name, status=503, outcome="not-run", **changes)


class HistoryCheckerTest(unittest.TestCase):
    def expect(self, history, *rules):
        self.assertEqual([violation.rule for violation in check(history)], list(rules))

    def test_check_ofACleanHistory_findsNothing(self):
        # A call that is answered, one that is refused and did not run, and a repeat through another node.
        self.expect(History(
            attempts=[attempt(), refused("a-2"), attempt("a-3", status=0), attempt("a-3", request_id="r-other"),
                      attempt("a-4", method="GET")],
            actions=[action(), action("a-3")], revisions=[(1, "vm-1", 1), (2, "vm-1", 2), (2, "vm-2", 1)],
            withdrawals=[Withdrawal("shops", 99, 5)]))

    def test_check_ofARepeatRefusedAsNotRunWhileTheFirstRan_findsNothing(self):
        self.expect(History(attempts=[attempt(), refused(request_id="r-repeat")], actions=[action()]))

    def test_answersForgotten_ofARepeatToldToWaitAfterTheAnswer_findsIt(self):
        # The repeat arrived before the report that the first run had ended. A repeat sent before the answer may be told
        # that the first run has not ended.
        first = attempt(idempotency_key=True)
        early = attempt(idempotency_key=True, status=409, outcome="unknown", sent=100.05, code="3022")
        late = attempt(idempotency_key=True, status=409, outcome="unknown", sent=100.2, code="3022")
        found = [violation.rule for violation in answers_forgotten(History(attempts=[first, early, late], actions=[]))]
        self.assertEqual(found, ["answers_forgotten"])

    def test_check_ofAnActionRunOnTwoServers_findsTheDuplicate(self):
        # The first node stopped responding after the refund was paid, the caller repeated it, and it was paid again.
        self.expect(History(attempts=[attempt(status=0), attempt(request_id="r-2")],
                            actions=[action(), action(server="counter-2", requestId="r-2")]), "duplicate_actions")

    def test_check_ofAnActionRunTwiceUnderOneRequest_findsTheDuplicate(self):
        # The entry retried an attempt that was not proved to have never started.
        self.expect(History(attempts=[attempt()], actions=[action(), action(server="counter-2")]), "duplicate_actions")

    def test_check_ofARefusalWhoseActionRan_findsTheFalseNotRun(self):
        # The caller was told that nothing ran and booked elsewhere, although the slot was booked.
        self.expect(History(attempts=[refused()], actions=[action()]), "false_not_run")

    def test_check_ofARefusalWithoutRequestIdWhoseActionRan_findsTheFalseNotRun(self):
        self.expect(History(attempts=[refused(request_id="")], actions=[action()]), "false_not_run")

    def test_check_ofOneRefusedAttemptThatRanAmongOthers_findsTheFalseNotRun(self):
        self.expect(History(attempts=[refused(), attempt(request_id="r-2")], actions=[action()]), "false_not_run")

    def test_check_ofACutAnswerTakenAsWhole_findsIt(self):
        self.expect(History(attempts=[attempt(method="GET", whole=False)], actions=[]), "crossed_or_partial_answers")

    def test_check_ofAnotherRequestsAnswer_findsIt(self):
        # A late answer remained on a connection and was delivered to the next request on it.
        self.expect(History(attempts=[attempt(method="GET", own=False)], actions=[]), "crossed_or_partial_answers")

    def test_check_ofAnAnswerForAnotherWorkspace_findsTheMixup(self):
        self.expect(History(attempts=[attempt(method="GET", right_workspace=False)], actions=[]), "workspace_mixups")

    def test_check_ofAnActionRunForAnotherWorkspace_findsTheMixup(self):
        self.expect(History(attempts=[attempt()], actions=[action(workspace="vans")]), "workspace_mixups")

    def test_check_ofAKeyAtABackendServer_findsIt(self):
        self.expect(History(attempts=[], actions=[], keys_seen=1), "keys_seen")

    def test_check_ofANodeThatWentBackARevision_findsIt(self):
        # The platform returned stale data, and the node applied the older configuration.
        self.expect(History(attempts=[], actions=[], revisions=[(1, "vm-1", 3), (2, "vm-1", 2), (3, "vm-1", 3)]),
                    "reverted_revisions")

    def test_check_ofARestartedNodeWithoutARevisionYet_findsNothing(self):
        self.expect(History(attempts=[], actions=[], revisions=[(1, "vm-1", 3), (2, "vm-1", 0), (3, "vm-1", 3)]))

    def test_check_ofAWithdrawnKeyServedAfterTheBound_findsIt(self):
        self.expect(History(attempts=[attempt(sent=106.0)], actions=[action()],
                            withdrawals=[Withdrawal("shops", 100, 5)]), "withdrawn_keys_working")

    def test_check_ofAnAcceptedActionThatNeverRan_findsItLost(self):
        # The caller received a confirmation for a booking that no backend server ran.
        self.expect(History(attempts=[attempt()], actions=[]), "lost_accepted_actions")

    def test_check_ofACallWithoutAnyAnswer_findsItHanging(self):
        # The entry kept asking whether an attempt had started and ignored the deadline, so the caller was blocked.
        self.expect(History(attempts=[attempt(method="GET", status=0, error=CLIENT_TIMEOUT)], actions=[]),
                    "hanging_calls")

    def test_check_ofACallWhoseNodeCrashed_findsNothing(self):
        self.expect(History(attempts=[attempt(method="GET", status=0, error="Connection reset by peer")], actions=[]))


if __name__ == "__main__":
    unittest.main()

"""The safety properties that must hold in every reachable state. `world` and `policy` check them.

Their names occur in saved traces and in JSON output.
"""

from __future__ import annotations

from statecheck import Violation

ONE_OUTCOME = Violation(
    "one outcome", "a request gets exactly one final outcome, and none after its client disconnected"
)
NOTHING_SENT_AFTER_OUTCOME = Violation(
    "nothing after the outcome", "nothing is sent for a request after its final outcome"
)
NO_DUPLICATE_EXECUTION = Violation(
    "no second run", "an unsafe request is retried only if no earlier attempt can have been executed"
)
RETRY_WITHIN_GROUP = Violation(
    "one group", "a keyed request that may have been executed is retried only within its group of servers"
)
RETRY_WITHIN_WINDOW = Violation(
    "in the window",
    "a keyed request is retried only within its window after the first attempt that may have been executed",
)
REFUSED_ONLY_IF_SAFE = Violation(
    "a refusal is a promise",
    "a request is refused only if a retry is safe, since no attempt can have been executed",
)
DRAIN_RESPECTED = Violation(
    "drains kept",
    "no new request is sent to a server after the list reported that it drains, was removed or has restarted",
)
RESPONSE_MATCHES_REQUEST = Violation(
    "the right answer", "a response is delivered only to the request that it answers"
)
CLEAN_CONNECTION = Violation(
    "a clean line", "no connection is reused after bytes arrived that belong to no response"
)
REPORTED_ONCE = Violation("ended once", "the end of an attempt is reported to the balancer exactly once")
REPORTED_TRUTHFULLY = Violation(
    "a true word", "an attempt that may have been executed is not reported to the balancer as never executed"
)
WRITTEN_ONCE = Violation("one sending", "an attempt is written only once, on one connection")
CONNECTION_LIMIT_KEPT = Violation(
    "the bound kept", "the number of connections, except those being closed, never exceeds its limit"
)
NO_LEAK = Violation(
    "nothing left behind",
    "the tables contain exactly the open requests, attempts and connections, so that none of them leaks",
)
ABANDONED_ALONE = Violation(
    "ends alone", "abandoning a request or one of its attempts ends no attempt of another request"
)
CALL_LIMIT_KEPT = Violation(
    "calls bounded", "a connection never carries more concurrent calls than its limit"
)
ANSWERED_AT_SHUTDOWN = Violation(
    "an orderly end", "at shutdown every accepted request gets its final outcome"
)
STREAM_ENDS_ONCE = Violation(
    "begun ends once", "a streamed response ends exactly once, also at the upstream if its client disconnects"
)
TRUNCATION_SHOWN = Violation(
    "cut is cut", "a streamed response is marked as complete only if the upstream has sent all of it"
)
NO_EXCEPTION = Violation("no fault", "no event raises an exception in the state machines")

ALL = (
    *(
        ONE_OUTCOME,
        NOTHING_SENT_AFTER_OUTCOME,
        NO_DUPLICATE_EXECUTION,
        RETRY_WITHIN_GROUP,
        RETRY_WITHIN_WINDOW,
        REFUSED_ONLY_IF_SAFE,
        DRAIN_RESPECTED,
        RESPONSE_MATCHES_REQUEST,
    ),
    *(
        CLEAN_CONNECTION,
        REPORTED_ONCE,
        REPORTED_TRUTHFULLY,
        WRITTEN_ONCE,
        CONNECTION_LIMIT_KEPT,
        NO_LEAK,
        ANSWERED_AT_SHUTDOWN,
        NO_EXCEPTION,
        ABANDONED_ALONE,
        CALL_LIMIT_KEPT,
        STREAM_ENDS_ONCE,
        TRUNCATION_SHOWN,
    ),
)

"""The sizes in which the lifecycle state machines are explored."""

from __future__ import annotations

from anisestair.states.world import Scenario

LONG_WINDOW_MS = 2500.0  # long enough for a second attempt, one tick after the first

# Small enough to be explored for every seeded bug. CI explores these.
SMALL = (
    Scenario("sale-small", ("sale",), (0,), 2, 1),
    Scenario("sale-two-servers", ("sale",), (0, 0), 3, 2),
    Scenario("sale-uncancelled", ("sale",), (0,), 2, 1, may_cancel=False),
    Scenario("look-small", ("look",), (0,), 2, 1, second_copies=True),
    Scenario("listing-small", ("listing",), (0,), 2, 0, ticks=2, partial_writes=False, clients_leave=False),
    Scenario(
        *("listing-window", ("listing",), (0,), 3, 0),
        ticks=3,
        partial_writes=False,
        clients_leave=False,
        window_ms=LONG_WINDOW_MS,
    ),
    Scenario("listing-cells", ("listing",), (0, 1), 2, 1, ticks=2, partial_writes=False, clients_leave=False),
    Scenario("listing-copies", ("listing",), (0, 1), 2, 0, ticks=2, second_copies=True, partial_writes=False),
    Scenario("pair-small", ("sale", "sale"), (0,), 2, 1, partial_writes=False),
    Scenario("pair-at-the-bound", ("sale", "sale"), (0,), 2, 0, max_connections=1, partial_writes=False),
    # Responses that are streamed, since they are too long to be buffered.
    Scenario("long-small", ("sale",), (0,), 2, 1, streaming=True),
    Scenario("long-uncancelled", ("sale",), (0,), 2, 0, streaming=True, may_cancel=False),
    Scenario("long-look", ("look",), (0, 0), 2, 1, streaming=True, partial_writes=False, second_copies=True),
    Scenario("long-pair", ("sale", "sale"), (0,), 1, 0, streaming=True, partial_writes=False),
    # Several concurrent calls on one connection, as in MessagePack-RPC.
    Scenario("calls-two", ("sale", "sale"), (0,), 2, 0, calls_per_connection=2, clients_leave=False),
    Scenario(
        "calls-three", ("sale", "sale", "sale"), (0,), 1, 0, calls_per_connection=2, clients_leave=False
    ),
    Scenario(
        "calls-three-on-one",
        ("sale", "sale", "sale"),
        (0,),
        1,
        0,
        calls_per_connection=3,
        clients_leave=False,
    ),
    Scenario("calls-drain", ("sale", "sale"), (0,), 1, 2, calls_per_connection=2, partial_writes=False),
)

# The full sizes: one request with three servers and four attempts, and two requests with two servers and
# three attempts. For two requests the number of connections is limited: the order in which idle connections
# end would multiply the states.
LARGE = (
    Scenario("trio-sale", ("sale",), (0, 0, 0), 4, 2),
    Scenario("trio-listing", ("listing",), (0, 0, 1), 4, 1, partial_writes=False),
    Scenario("look-two-servers", ("look",), (0, 0), 3, 2, second_copies=True),
    Scenario("pair-sales", ("sale", "sale"), (0, 0), 3, 2, max_connections=3, partial_writes=False),
    Scenario("pair-listings", ("listing", "listing"), (0, 0), 3, 2, max_connections=2, partial_writes=False),
    Scenario("pair-looks", ("look", "look"), (0, 0), 3, 2, max_connections=1, partial_writes=False),
    Scenario("pair-mixed", ("sale", "listing"), (0, 0), 3, 2, max_connections=2, partial_writes=False),
)

BY_NAME = {item.name: item for item in (*SMALL, *LARGE)}

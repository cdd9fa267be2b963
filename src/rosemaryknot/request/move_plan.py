"""Plans for moving streams off a draining server, and choice of their targets."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from rosemaryknot.values.nodes import BackendServer

__all__ = [
    "MoveAction",
    "MoveInput",
    "MovePolicy",
    "MoveStep",
    "StreamFacts",
    "TargetFacts",
    "choose_target",
    "move_policy",
    "plan_moves",
]

DEFAULT_POLICY = "planned_moves"
DEADLINE_MARGIN_S = 0.3
MOVE_OVERHEAD_S = 0.02


class MoveAction(StrEnum):
    """Action for one stream of a draining server."""

    FINISH = "finish"
    MOVE = "move"
    RESUME = "resume"
    RESTART = "restart"


@dataclass(slots=True)
class StreamFacts:
    """Properties of a stream that a move policy may use.

    Attributes
    ----------
    request_id : str
        Id of the request.
    prompt_tokens : float
        Estimated number of prompt tokens.
    emitted : int
        Number of response tokens so far.
    remaining : int
        Maximum number of response tokens still to be generated.
    step_time_s : float
        Time per token, in seconds.
    cached_tokens_elsewhere : float
        Estimated prompt tokens that another server has cached.
    priority : int
        Engine priority; lower runs first.
    ready_in_s : float
        Time until the prefill is done, in seconds. Until then there is no KV cache to
        export.
    """

    request_id: str
    prompt_tokens: float
    emitted: int
    remaining: int
    step_time_s: float
    cached_tokens_elsewhere: float = 0.0
    priority: int = 0
    ready_in_s: float = 0.0

    @property
    def tokens_at_risk(self) -> float:
        """Number of tokens that a resume on another server recomputes."""
        return (
            max(0.0, self.prompt_tokens - self.cached_tokens_elsewhere) + self.emitted
        )

    @property
    def finishes_in_s(self) -> float:
        """Time until the longest possible response is complete, in seconds."""
        return self.remaining * self.step_time_s


@dataclass(slots=True)
class MoveInput:
    """Input of a move policy.

    Attributes
    ----------
    streams : list of StreamFacts
        Streams on the draining server.
    remaining_s : float
        Time until the server is reclaimed, in seconds.
    moves_kv : bool
        Whether the engine exports KV cache.
    kv_bytes_per_token : float
        Size of the KV cache of one token.
    bytes_per_s : float
        Rate at which the server sends KV cache, shared by its streams.
    """

    streams: list[StreamFacts]
    remaining_s: float
    moves_kv: bool
    kv_bytes_per_token: float
    bytes_per_s: float

    def transfer_s(self, stream: StreamFacts) -> float:
        """Return the time to transfer a stream's KV cache, in seconds."""
        tokens = stream.prompt_tokens + stream.emitted
        return MOVE_OVERHEAD_S + tokens * self.kv_bytes_per_token / self.bytes_per_s


@dataclass(slots=True)
class MoveStep:
    """One step of a plan; the steps of a plan are executed in order.

    Attributes
    ----------
    request_id : str
        Id of the stream's request.
    action : MoveAction
        Action for the stream.
    reason : str
        Short reason, for logs.
    """

    request_id: str
    action: MoveAction
    reason: str


MovePolicy = Callable[[MoveInput], list[MoveStep]]

POLICIES: dict[str, MovePolicy] = {}


def move_policy(name: str) -> Callable[[MovePolicy], MovePolicy]:
    """Return a decorator that registers a move policy."""

    def register(function: MovePolicy) -> MovePolicy:
        if name in POLICIES:
            raise ValueError(f"move policy {name!r} is already registered")
        POLICIES[name] = function
        return function

    return register


def plan_moves(name: str, inputs: MoveInput) -> list[MoveStep]:
    """Plan the moves of a server's streams by a policy.

    Parameters
    ----------
    name : str
        Name of a registered policy; unknown names fall back to `DEFAULT_POLICY`.
    inputs : MoveInput
        Input of the policy.

    Returns
    -------
    steps : list of MoveStep
        One step for each stream.
    """
    return POLICIES.get(name, POLICIES[DEFAULT_POLICY])(inputs)


@move_policy("always_restart")
def always_restart(inputs: MoveInput) -> list[MoveStep]:
    """Recompute every response from its start on another server; a baseline."""
    return [
        MoveStep(s.request_id, MoveAction.RESTART, "baseline") for s in inputs.streams
    ]


@move_policy("always_resume")
def always_resume(inputs: MoveInput) -> list[MoveStep]:
    """Resume every stream on another server immediately; a baseline."""
    return [
        MoveStep(s.request_id, MoveAction.RESUME, "baseline") for s in inputs.streams
    ]


@move_policy("planned_moves")
def planned_moves(inputs: MoveInput) -> list[MoveStep]:
    """Finish streams that end in time, move the most valuable, resume the others.

    A stream that cannot be moved in time is resumed at the notice and not at the
    deadline, since each token that it emits until then must be recomputed. Moves are
    ordered by tokens at risk per second of transfer; streams still in prefill come
    last. A move that does not fit in the remaining time is skipped in favour of
    smaller ones.
    """
    time_s = inputs.remaining_s - DEADLINE_MARGIN_S
    finishing = [s for s in inputs.streams if s.finishes_in_s <= time_s]
    others = [s for s in inputs.streams if s.finishes_in_s > time_s]
    steps = [
        MoveStep(s.request_id, MoveAction.FINISH, "ends before the deadline")
        for s in finishing
    ]
    moves: list[MoveStep] = []
    used_s = 0.0
    for stream in sorted(others, key=lambda s: (s.ready_in_s, -risk_rate(inputs, s))):
        ends_s = max(used_s, stream.ready_in_s) + inputs.transfer_s(stream)
        if not inputs.moves_kv:
            steps.append(resume_step(stream, "the engine does not export KV cache"))
        elif ends_s > time_s:
            steps.append(resume_step(stream, "not enough time for a move"))
        else:
            used_s = ends_s
            reason = f"move ends at {used_s:.2f} s of {time_s:.2f} s"
            moves.append(MoveStep(stream.request_id, MoveAction.MOVE, reason))
    return steps + moves


def risk_rate(inputs: MoveInput, stream: StreamFacts) -> float:
    """Return the tokens at risk per second of transfer."""
    return stream.tokens_at_risk / inputs.transfer_s(stream)


def resume_step(stream: StreamFacts, reason: str) -> MoveStep:
    """Return the step that resumes a stream on another server."""
    return MoveStep(stream.request_id, MoveAction.RESUME, reason)


@dataclass(slots=True)
class TargetFacts:
    """A live server to which a stream can move.

    Attributes
    ----------
    server : BackendServer
        The server.
    requests : float
        Current number of requests.
    slots : int
        Number of requests that run concurrently.
    importing : int
        Number of running imports that this process started.
    """

    server: BackendServer
    requests: float = 0.0
    slots: int = 32
    importing: int = 0


def choose_target(source: BackendServer, targets: list[TargetFacts]) -> TargetFacts:
    """Choose the target of a move.

    Reclaim notices come in waves that hit the servers of a zone or a machine class one
    after another, so reclaimable targets in the same zone or of the same class come
    last. Among the others, the target with the fewest imports is chosen, then the one
    with the lowest load.

    Parameters
    ----------
    source : BackendServer
        Draining server.
    targets : list of TargetFacts
        Possible targets; at least one.
    """

    def sort_key(target: TargetFacts) -> tuple:
        server = target.server
        return (
            server.reclaimable and server.zone == source.zone,
            server.reclaimable and server.machine_class == source.machine_class,
            target.importing,
            target.requests / max(1, target.slots),
            server.instance,
        )

    return min(targets, key=sort_key)

"""What to do first with the streams of a server that is leaving."""

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
    """What is done with one stream."""

    FINISH = "finish"
    MOVE = "move"
    RESUME = "resume"
    RESTART = "restart"


@dataclass(slots=True)
class StreamFacts:
    """What a move plan may know of one stream.

    Attributes
    ----------
    request_id : str
        Id of the request.
    prompt_tokens : float
        Tokens of the prompt, by estimate.
    emitted : int
        Tokens of the answer so far.
    remaining : int
        Most tokens still to come.
    step_time_s : float
        Time of one token, in seconds.
    cached_elsewhere : float
        Prompt tokens that another server has probably cached.
    priority : int
        Engine priority; lower runs first.
    ready_in_s : float
        Time until its prefill is done, in seconds; before, there is no KV cache to
        export.
    """

    request_id: str
    prompt_tokens: float
    emitted: int
    remaining: int
    step_time_s: float
    cached_elsewhere: float = 0.0
    priority: int = 0
    ready_in_s: float = 0.0

    @property
    def tokens_at_risk(self) -> float:
        """Tokens that a resume elsewhere computes again."""
        return max(0.0, self.prompt_tokens - self.cached_elsewhere) + self.emitted

    @property
    def finishes_in_s(self) -> float:
        """Time to its longest possible end, in seconds."""
        return self.remaining * self.step_time_s


@dataclass(slots=True)
class MoveInput:
    """Everything that a move policy may look at.

    Attributes
    ----------
    streams : list of StreamFacts
        Streams on the leaving server.
    time_left_s : float
        Time until the server is taken away, in seconds.
    moves_kv : bool
        Whether its engine exports KV cache.
    kv_bytes_per_token : float
        Size of the KV cache of one token.
    bytes_per_s : float
        Rate at which the server sends KV cache, shared by its streams.
    """

    streams: list[StreamFacts]
    time_left_s: float
    moves_kv: bool
    kv_bytes_per_token: float
    bytes_per_s: float

    def transfer_s(self, stream: StreamFacts) -> float:
        """Return the time to move a stream's KV cache, in seconds."""
        tokens = stream.prompt_tokens + stream.emitted
        return MOVE_OVERHEAD_S + tokens * self.kv_bytes_per_token / self.bytes_per_s


@dataclass(slots=True)
class MoveStep:
    """One step of a plan; the steps of a plan stand in the order of their start.

    Attributes
    ----------
    request_id : str
        Stream that it is about.
    action : MoveAction
        What to do.
    reason : str
        A few words for the log.
    """

    request_id: str
    action: MoveAction
    reason: str


MovePolicy = Callable[[MoveInput], list[MoveStep]]

POLICIES: dict[str, MovePolicy] = {}


def move_policy(name: str) -> Callable[[MovePolicy], MovePolicy]:
    """Register a move policy under a name."""

    def register(function: MovePolicy) -> MovePolicy:
        if name in POLICIES:
            raise ValueError(f"move policy {name!r} is taken")
        POLICIES[name] = function
        return function

    return register


def plan_moves(name: str, given: MoveInput) -> list[MoveStep]:
    """Plan by a policy.

    Parameters
    ----------
    name : str
        A registered name; another one falls back to `DEFAULT_POLICY`.
    given : MoveInput
        What is known.

    Returns
    -------
    steps : list of MoveStep
        One for each stream.
    """
    return POLICIES.get(name, POLICIES[DEFAULT_POLICY])(given)


@move_policy("always_restart")
def always_restart(given: MoveInput) -> list[MoveStep]:
    """Compute every answer again from its start elsewhere; a baseline."""
    return [
        MoveStep(s.request_id, MoveAction.RESTART, "baseline") for s in given.streams
    ]


@move_policy("always_resume")
def always_resume(given: MoveInput) -> list[MoveStep]:
    """Resume every stream elsewhere at once; a baseline."""
    return [
        MoveStep(s.request_id, MoveAction.RESUME, "baseline") for s in given.streams
    ]


@move_policy("planned_moves")
def planned_moves(given: MoveInput) -> list[MoveStep]:
    """Finish in place what can, move what is worth most, resume the rest at once.

    A stream that cannot be moved in time is resumed at the notice and not at the
    deadline, since each token that it emits until then is one more to compute
    again. Moves go by tokens at risk for each second of transfer, those that still
    prefill last; one that does not fit leaves its room to smaller ones after it.
    """
    time_s = given.time_left_s - DEADLINE_MARGIN_S
    finishing = [s for s in given.streams if s.finishes_in_s <= time_s]
    others = [s for s in given.streams if s.finishes_in_s > time_s]
    steps = [
        MoveStep(s.request_id, MoveAction.FINISH, "ends before the deadline")
        for s in finishing
    ]
    moves: list[MoveStep] = []
    used_s = 0.0
    for stream in sorted(others, key=lambda s: (s.ready_in_s, -worth(given, s))):
        ends_s = max(used_s, stream.ready_in_s) + given.transfer_s(stream)
        if not given.moves_kv:
            steps.append(resume(stream, "the engine moves no KV cache"))
        elif ends_s > time_s:
            steps.append(resume(stream, "no time left to move it"))
        else:
            used_s = ends_s
            reason = f"moved by {used_s:.2f} s of {time_s:.2f} s"
            moves.append(MoveStep(stream.request_id, MoveAction.MOVE, reason))
    return steps + moves


def worth(given: MoveInput, stream: StreamFacts) -> float:
    """Return the tokens at risk for each second of transfer."""
    return stream.tokens_at_risk / given.transfer_s(stream)


def resume(stream: StreamFacts, reason: str) -> MoveStep:
    """Return the step that resumes a stream elsewhere."""
    return MoveStep(stream.request_id, MoveAction.RESUME, reason)


@dataclass(slots=True)
class TargetFacts:
    """A live server that may take a moved stream.

    Attributes
    ----------
    server : BackendServer
        The server.
    requests : float
        Requests there now.
    slots : int
        Requests that run at once.
    importing : int
        Imports of ours that it is at work on.
    """

    server: BackendServer
    requests: float = 0.0
    slots: int = 32
    importing: int = 0


def choose_target(source: BackendServer, targets: list[TargetFacts]) -> TargetFacts:
    """Choose where a stream is moved to.

    Notices come in waves that take a zone, or a machine class, one server after the
    other. A target of the same zone and class is likely to be the next; so those
    come last, and among the rest the one with the fewest imports, then the least
    load.

    Parameters
    ----------
    source : BackendServer
        Server that is leaving.
    targets : list of TargetFacts
        At least one.
    """

    def rank(target: TargetFacts) -> tuple:
        server = target.server
        return (
            server.reclaimable and server.zone == source.zone,
            server.reclaimable and server.machine_class == source.machine_class,
            target.importing,
            target.requests / max(1, target.slots),
            server.instance,
        )

    return min(targets, key=rank)

"""Grammar of the scenario language, with one statement per line.

The language is documented in docs/SCENARIOS.md.
"""

__all__ = ["DESCRIPTIONS", "GRAMMAR"]

GRAMMAR = r"""
start: _NL? (_statement _NL)+

_statement: title | seed | zones | engines | entries | servers | price | keep
    | timed | repeated | by | expect

title: "scenario" STRING
seed: "seed" NUMBER
zones: "zones" NAME+ ["delay" TIME]
engines: "engines" "step" TIME ["slots" NUMBER] ["cache" NUMBER "tokens"]
entries: "entries" NUMBER "per" "zone"
servers: "servers" NAME NUMBER (each_zone | in_zone) server_option*
each_zone: "per" "zone"
in_zone: "in" NAME
server_option: "by" FORM -> by_form
    | "of" "class" NAME -> of_class
    | "on" "demand" -> on_demand
price: "price" "of" "class" NAME "in" NAME "is" NUMBER [ON_DEMAND]

keep: "keep" NAME NUMBER "in" NAME ["of" "class" classes]
classes: NAME ("or" NAME)*

timed: "at" TIME _step
repeated: "from" TIME "to" TIME "every" TIME request
by: "by" TIME _outcome
expect: "expect" _measure

_step: request | patch | start_server | reclaim | cut | heal | kill | restart
    | freeze | silence | swap | plain_fault | outage | slow | lose | stale
    | refuse_starts

request: NAME "sends" KIND [size] "as" NAME option*
size: "of" NUMBER "tokens" ["on" NUMBER "words"]
option: "to" NAME -> to_place
    | "giving" "up" "after" TIME -> giving_up
    | "trying" NUMBER "times" -> trying
    | "repeating" "every" TIME -> repeating
    | "without" "attempt" "numbers" -> undeclared

patch: "operator" NAME "sets" PATH "to" _value base "as" NAME ["at" NAME]
base: ["on" "configuration" NUMBER]
_value: NUMBER | STRING

start_server: "start" NAME "in" NAME
reclaim: "reclaim" (zone | node | server) "with" "notice" TIME
cut: "cut" NAME "from" (platform | everything | NAME)
heal: "heal" NAME
kill: "kill" (entry | agent | node | server)
restart: "restart" (entry | agent)
freeze: "freeze" (entry | agent | server) "for" TIME
silence: "silence" "connections" "of" (entry | agent | server | platform)
swap: "swap" "answers" "of" server
plain_fault: "let" server FAULT NUMBER "calls"
outage: "outage" "of" "platform" OUTAGE "for" TIME
slow: "slow" "platform" "by" TIME "for" TIME
lose: "lose" NUMBER "platform" "answers"
stale: "roll" "back" "stored" "configuration" "to" NUMBER

refuse_starts: "refuse" "starts" "of" "class" NAME "in" NAME "for" TIME

zone: "zone" NAME
node: "node" NAME
entry: "entry" NAME
agent: "agent" NAME
server: NAME "in" NAME
platform: "platform"
everything: "everything"

_outcome: outcome | exactly_one | in_force | live
outcome: _subject "is" results
exactly_one: "one" "of" NAME+ "is" results
in_force: "configuration" NUMBER "in" "force" "everywhere"
live: NAME "has" NUMBER "live" "in" NAME
results: RESULT ("or" RESULT)*
_subject: one | every
one: NAME
every: "every" KIND

_measure: recomputed | runs | crossed | untrue | lost | first_token | between_tokens
    | share | late_work | reverted
recomputed: "recomputed" "tokens" COMPARE NUMBER
runs: "runs" "of" _subject COMPARE NUMBER
crossed: "no" "answer" "is" "crossed"
untrue: "no" "refused" KIND "ran"
lost: "no" "accepted" "request" "is" "lost"
first_token: "first" "token" "of" [share_of] _subject COMPARE TIME
between_tokens: "between" "tokens" "of" share_of _subject COMPARE TIME
share_of: NUMBER "percent" "of"
share: "answered" "share" "of" _subject COMPARE NUMBER
late_work: "no" "new" "work" "later" "than" TIME "after" "notice"
reverted: "no" "configuration" "is" "taken" "back"

KIND: "plan-set" | "question" | "stock-check" | "booking" | "care-brief" | "chat"
    | "alert" | "ping"
RESULT: "answered whole" | "answered" | "refused" | "unknown" | "accepted" | "stale"
    | "running" | "open"
FORM: "shards" | "objects"
FAULT: "lose answers of" | "answer late" | "refuse" | "go silent before"
    | "go silent after"
ON_DEMAND: "on demand"
OUTAGE: "refusing" | "silent"
COMPARE: "<=" | ">=" | "="
TIME.2: /\d+(\.\d+)?(ms|s)/
NUMBER: /\d+(\.\d+)?/
NAME: /[a-z][a-z0-9]*(-[a-z0-9]+)*/
PATH: /\/[^\s]+/
STRING: /"[^"\n]*"/
_NL: /([\t ]*(#[^\n]*)?\r?\n)+[\t ]*/

%ignore /[\t ]+/
"""

DESCRIPTIONS = {
    "COMPARE": "<=, >= or =",
    "FAULT": "lose answers of, answer late, refuse, go silent before, go silent after",
    "FORM": "shards or objects",
    "KIND": "a kind of request (plan-set, question, stock-check, booking, "
    "care-brief, chat, alert, ping)",
    "NAME": "a name",
    "NUMBER": "a number",
    "ON_DEMAND": "on demand",
    "OUTAGE": "refusing or silent",
    "PATH": "a path such as /rules/max_capacity_change_share",
    "RESULT": "a result (answered whole, answered, refused, unknown, accepted, "
    "stale, running, open)",
    "STRING": "a text in double quotes",
    "TIME": "a time such as 3s or 20ms",
    "_NL": "the end of the line",
    "$END": "the end of the file",
}

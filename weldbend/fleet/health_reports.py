"""Evidence on caches: what a front says of the pulls it made, and what others make of it. No I/O.

Each front says how its pulls at a cache ended in the last seconds, as long as some ended badly, and how it
does with all caches together. Who reads it weighs each word by its age, by where its writer stands, and by
how well the writer does with everybody else: one whose own line is bad has bad ends everywhere. The heaviest
accuser is left out, so no front alone, wrong or lying, makes another doubt a cache; and no writer counts for
more than `MOST` answers, however many it claims.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

SPAN = 10.0  # seconds that a record covers; a word older than that counts for nothing
AGAIN, ACCUSED = 3.0, 0.9  # seconds after which the same is said again; of what others accuse
MOST = 4.0  # answers that one writer's word counts for at most
ABROAD = 0.5  # what the word of a front in another zone counts: its path is another
LEAST = 0.5  # bad answers below which nothing is doubted
MOST_WORDS = 32  # said at once; the worst first
ALL = "*"  # stands for all caches together

Record = tuple[float, float]  # answers, good and bad


@dataclass(slots=True)
class HealthReporter:
    """What this front says of its own pulls."""

    said: dict[str, tuple[float, Record]] = field(default_factory=dict)  # of each cache: when, and what

    def words(
        self, now: float, record: Mapping[str, Record], accused: Iterable[str] = ()
    ) -> list[tuple[str, Record]]:
        """What to say now, of caches and of all together (`ALL`); nothing while all ends well.

        Of what others accuse (`accused`) also who fares well there speaks.
        """
        held = {uid: (round(good, 1), round(bad, 1)) for uid, (good, bad) in record.items()}
        told = {uid for uid, (_, what) in self.said.items() if what[1]}
        told |= {uid for uid in accused if sum(held.get(uid, (0.0, 0.0)))}
        accused = set(accused)
        due = [
            uid
            for uid in held
            if (held[uid][1] or uid in told)
            and self.news(uid, held[uid], now, ACCUSED if uid in accused else AGAIN)
        ]
        due.sort(key=lambda uid: held[uid][1], reverse=True)
        found = [(uid, held[uid]) for uid in due[:MOST_WORDS]]
        whole = round(sum(g for g, _ in held.values()), 1), round(sum(b for _, b in held.values()), 1)
        speaks = found or accused or any(bad for _, bad in held.values())
        if speaks and self.news(ALL, whole, now, AGAIN):
            found.append((ALL, whole))
        self.said |= {uid: (now, what) for uid, what in found}
        for uid in [uid for uid in self.said if uid not in held and uid != ALL]:
            del self.said[uid]
        return found

    def news(self, uid: str, what: Record, now: float, again: float) -> bool:
        at, before = self.said.get(uid, (-SPAN, (0.0, 0.0)))
        moved = abs(what[1] - before[1]) >= max(1.0, 0.2 * before[1])
        return moved or (what[1] > 0) != (before[1] > 0) or now - at >= again


@dataclass(frozen=True, slots=True)
class HealthReport:
    """What one front says of one cache, and of all together; `age` in seconds."""

    writer: str
    near: bool  # stands in the reader's zone
    age: float
    record: Record
    whole: Record


def credit(word: HealthReport) -> float:
    """From 0 to 1: how well its writer does with everybody else; one whose own line is bad does not."""
    good, bad = (max(a - b, 0.0) for a, b in zip(word.whole, word.record, strict=True))
    return ((good + 1) / (good + bad + 1)) ** 2


def weight(word: HealthReport) -> float:
    """From 0 to 1: how far a word counts."""
    fresh = max(1 - word.age / SPAN, 0.0)
    total = sum(word.record)
    return credit(word) * fresh * (1.0 if word.near else ABROAD) * min(1.0, MOST / total if total else 1.0)


def combined(words: Iterable[HealthReport]) -> Record:
    """Answers that all words about one cache amount to, the heaviest accuser left out."""
    weighed = [(w * word.record[1], w * word.record[0]) for word in words if (w := weight(word))]
    weighed.sort(reverse=True)
    bad, good = sum(b for b, _ in weighed[1:]), sum(g for _, g in weighed[1:])
    return (good, bad) if bad >= LEAST else (0.0, 0.0)

#include "tests/soak/Effects.h"

#include <fmt/format.h>

#include <algorithm>

namespace lychee::test {

namespace {

// After this time from its beginning, a parting is known to the instance.
constexpr Millis detectionTime{1000};
constexpr Millis inTouchAfter{3000};

bool endsInstance(TroubleKind kind)
{
    return kind == TroubleKind::InstanceKilled || kind == TroubleKind::InstanceStopped;
}

// Whether the instance that took a call ended or was frozen before the end of the call.
bool isInstanceLost(const RunRecord& run, const CallRecord& call)
{
    return std::any_of(run.troubles.begin(), run.troubles.end(), [&](const Trouble& trouble) {
        return (endsInstance(trouble.kind) || trouble.kind == TroubleKind::InstanceFrozen)
            && trouble.subject == call.instance && trouble.begin <= call.endedAt && trouble.end >= call.sentAt;
    });
}

bool isCalm(const RunRecord& run, const CallRecord& call)
{
    return std::none_of(run.troubles.begin(), run.troubles.end(), [&](const Trouble& trouble) {
        return !isHarmless(trouble.kind) && trouble.begin <= call.endedAt && trouble.end + inTouchAfter >= call.sentAt;
    });
}

std::map<std::string, const CallRecord*> callsByAttempt(const RunRecord& run)
{
    std::map<std::string, const CallRecord*> calls;
    for (const CallRecord& call : run.calls)
        calls[call.attempt] = &call;
    return calls;
}

// Whether a worker was writing the answer at that time, for a caller that was still there.
bool isInProgress(const ArrivalRecord& arrival, const CallRecord& call, Millis at)
{
    return arrival.pause == Millis(0) && arrival.at < at && (!arrival.wholeAt || *arrival.wholeAt > at)
        && call.endedAt > at;
}

double share(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string_view nameOf(LinkFault form)
{
    switch (form) {
    case LinkFault::Refuse:
        return "refused";
    case LinkFault::Close:
        return "accepted and closed";
    case LinkFault::Reset:
        return "accepted and reset";
    case LinkFault::Unanswered:
        return "unanswered";
    default:
        return "another form";
    }
}

} // namespace

void Effects::add(const RunRecord& run)
{
    addAnswers(run);
    addStarts(run);
    addPartings(run);
}

void Effects::addAnswers(const RunRecord& run)
{
    const auto calls = callsByAttempt(run);
    for (const ArrivalRecord& arrival : run.arrivals) {
        const auto found = calls.find(arrival.attempt);
        if (!arrival.wholeAt || found == calls.end() || found->second->readsSlowly)
            continue;
        const CallRecord& call = *found->second;
        if (isInstanceLost(run, call))
            continue;
        WholeAnswers& answers = answers_[fmt::format(
            "{} {}", call.isStream() ? "stream" : "plain", arrival.undelimited ? "without length" : "delimited")];
        ++answers.count;
        const bool ranAgain = std::any_of(run.arrivals.begin(), run.arrivals.end(), [&](const ArrivalRecord& other) {
            return other.attempt == arrival.attempt && other.pause == Millis(0) && other.at > *arrival.wholeAt;
        });
        if (call.isServed() && !ranAgain)
            continue;
        ++answers.doubted;
        if (isCalm(run, call))
            answers.doubtedInCalm.push_back(
                fmt::format("{} written by {} at {}", call.text(), arrival.worker, arrival.wholeAt->count()));
    }
}

void Effects::addStarts(const RunRecord& run)
{
    const auto calls = callsByAttempt(run);
    for (const Trouble& start : run.troubles) {
        if (start.kind != TroubleKind::WorkerStartedAgain)
            continue;
        std::size_t cut = 0;
        for (const ArrivalRecord& arrival : run.arrivals) {
            const auto call = calls.find(arrival.attempt);
            if (arrival.worker != run.workers[start.subject] || call == calls.end() || arrival.wholeAt
                || !isInProgress(arrival, *call->second, start.begin))
                continue;
            ++cut;
            cutUndelimited_ += arrival.undelimited ? 1 : 0;
        }
        cutAnswers_ += cut;
        ++starts_.troubles;
        starts_.withEffect += cut > 0 ? 1 : 0;
    }
}

void Effects::addPartings(const RunRecord& run)
{
    const auto calls = callsByAttempt(run);
    for (const Trouble& parting : run.troubles) {
        if (parting.kind != TroubleKind::InstanceParted)
            continue;
        Trials& trials = partings_[parting.link];
        ++trials.troubles;
        trials.withEffect += parting.wasDetached ? 1 : 0;
        for (const CallRecord& call : run.calls) {
            if (call.sentAt < parting.inForceFrom + detectionTime || call.sentAt > parting.inForceUntil
                || isInstanceLost(run, call))
                continue;
            const bool isParted = call.instance == parting.subject;
            ++(isParted ? partedCalls_ : otherCalls_);
            (isParted ? partedServed_ : otherServed_) += call.isServed() ? 1 : 0;
        }
        for (const Trouble& end : run.troubles) {
            if (!endsInstance(end.kind) || end.subject == parting.subject || end.inForceFrom < parting.inForceFrom
                || end.inForceFrom > parting.inForceUntil)
                continue;
            const bool carried = std::any_of(run.arrivals.begin(), run.arrivals.end(), [&](const auto& arrival) {
                const auto call = calls.find(arrival.attempt);
                return call != calls.end() && call->second->instance == parting.subject
                    && call->second->sentAt > parting.inForceFrom
                    && isInProgress(arrival, *call->second, end.inForceFrom);
            });
            ++carriers_.troubles;
            carriers_.withEffect += carried && parting.wasDetached ? 1 : 0;
        }
    }
}

std::string Effects::text() const
{
    std::string text;
    for (const auto& [form, answers] : answers_) {
        text += fmt::format("whole answers, {}: {}, doubted {} (share {:.4f}), of these {} in calm\n", form,
            answers.count, answers.doubted, share(answers.doubted, answers.count), answers.doubtedInCalm.size());
        for (const std::string& doubted : answers.doubtedInCalm)
            text += fmt::format("  doubted in calm: {}\n", doubted);
    }
    text
        += fmt::format("workers started again at once: {}, {} cut answers; {} answers cut, {} of them without length\n",
            starts_.troubles, starts_.withEffect, cutAnswers_, cutUndelimited_);
    for (const auto& [form, trials] : partings_)
        text += fmt::format("instances parted, {}: {}, {} found themselves detached\n", nameOf(form), trials.troubles,
            trials.withEffect);
    text += fmt::format("calls while an instance is parted: {} of {} served there, {} of {} at the others\n",
        partedServed_, partedCalls_, otherServed_, otherCalls_);
    text += fmt::format("instances that ended beside a parted one: {}, {} beside an answer through a peer\n",
        carriers_.troubles, carriers_.withEffect);
    return text;
}

} // namespace lychee::test

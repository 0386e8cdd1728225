#include "tests/standins/common/FaultTable.h"

#include <algorithm>

namespace lychee::standin {

namespace {

std::optional<FaultKind> parseKind(const std::string& text)
{
    static const std::map<std::string, FaultKind> kinds{
        {"delay", FaultKind::Delay},
        {"drop_answer", FaultKind::DropAnswer},
        {"refuse", FaultKind::Refuse},
        {"freeze", FaultKind::Freeze},
        {"crash_on_body", FaultKind::CrashOnBody},
        {"ignore_fencing", FaultKind::IgnoreFencing},
        {"honour_fencing", FaultKind::HonourFencing},
        {"silence", FaultKind::Silence},
        {"not_run", FaultKind::NotRun},
        {"no_length", FaultKind::NoLength},
        {"leaving", FaultKind::Leaving},
    };
    const auto found = kinds.find(text);
    return found == kinds.end() ? std::nullopt : std::optional(found->second);
}

bool matches(const Fault& fault, const std::string& path, const std::string& body)
{
    if (!path.starts_with(fault.path))
        return false;
    return fault.kind != FaultKind::CrashOnBody || body.find(fault.body) != std::string::npos;
}

} // namespace

std::optional<Fault> Fault::parse(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        const auto kind = parseKind(json.value("kind", ""));
        const std::string when = json.value("when", "before_effect");
        const std::string scope = json.value("scope", "requests");
        if (!kind || (when != "before_effect" && when != "after_effect"))
            return std::nullopt;
        if (scope != "requests" && scope != "open_connections")
            return std::nullopt;
        Fault fault;
        fault.path = json.value("path", "/");
        fault.kind = *kind;
        fault.count = json.value("count", 1);
        fault.delay = std::chrono::milliseconds(json.value("delay_ms", 0));
        fault.body = json.value("body", "");
        fault.afterEffect = when == "after_effect";
        fault.afterEvents = json.value("after_events", 0);
        fault.retryAfterSeconds = json.value("retry_after", 0);
        fault.insideEvent = json.value("inside_event", false);
        fault.regularEnd = json.value("regular_end", false);
        fault.openConnections = scope == "open_connections";
        if (fault.kind == FaultKind::CrashOnBody && fault.body.empty())
            return std::nullopt;
        return fault;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

void FaultTable::add(const Fault& fault)
{
    const std::lock_guard lock(mutex_);
    faults_.push_back(fault);
}

void FaultTable::clear()
{
    const std::lock_guard lock(mutex_);
    faults_.clear();
    ++generation_;
    cleared_.notify_all();
}

std::vector<Fault> FaultTable::take(const std::string& path, const std::string& body)
{
    const std::lock_guard lock(mutex_);
    std::vector<Fault> taken;
    for (Fault& fault : faults_) {
        const bool kindTaken
            = std::any_of(taken.begin(), taken.end(), [&](const Fault& earlier) { return earlier.kind == fault.kind; });
        if (kindTaken || !matches(fault, path, body))
            continue;
        taken.push_back(fault);
        ++taken_;
        if (fault.count > 0)
            --fault.count;
    }
    std::erase_if(faults_, [](const Fault& fault) { return fault.count == 0; });
    return taken;
}

std::uint64_t FaultTable::taken() const
{
    const std::lock_guard lock(mutex_);
    return taken_;
}

void FaultTable::waitUntilCleared(std::chrono::milliseconds limit)
{
    std::unique_lock lock(mutex_);
    const auto isCleared = [this, generation = generation_] { return generation_ != generation; };
    if (limit.count() > 0)
        cleared_.wait_for(lock, limit, isCleared);
    else
        cleared_.wait(lock, isCleared);
}

} // namespace lychee::standin

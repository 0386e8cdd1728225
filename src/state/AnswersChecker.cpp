#include "state/AnswersChecker.h"

#include "state/MemoryPacking.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

namespace lychee {

namespace {

std::size_t lineOf(const AnswerSection& section, std::string_view key)
{
    if (!key.empty() && section.value(key) && section.value(key)->line > 0)
        return section.value(key)->line;
    return section.line();
}

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

AnswersResult AnswersChecker::check(std::string_view text)
{
    const IniLimits limits{Answers::textLimit, Answers::lineLimit, Answers::sectionLimit, Answers::errorLimit};
    const IniDocument document = IniDocument::parse(text, limits);
    for (const IniError& error : document.errors)
        fail({error.line, error.section, error.key, error.reason});
    answers_.sections_.resize(answerSchema().size());
    for (const IniSection& section : document.sections)
        readSection(section);
    // When the text could not be read at all, errors about absent sections would be misleading.
    if (!document.sections.empty() || document.errors.empty())
        addAbsentSections();
    for (auto& list : answers_.sections_)
        std::sort(list.begin(), list.end(), [](const auto& a, const auto& b) { return a.name() < b.name(); });
    for (const auto& list : answers_.sections_) {
        for (const AnswerSection& section : list)
            checkReferences(section);
    }
    for (const AnswerSection& model : answers_.sections("model"))
        checkClass(model, model);
    checkCalls();
    checkTargets();
    checkDistinct("team", "token_sha256", "a caller could not be distinguished from one of");
    checkDistinct("target", "address", "the memory of one engine would be counted twice; the same address belongs to");
    checkMemory();
    std::stable_sort(errors_.begin(), errors_.end(), [](const auto& a, const auto& b) { return a.line < b.line; });
    if (suppressed_ > 0)
        errors_.push_back({0, "", "", fmt::format("{} more errors are not listed", suppressed_)});
    AnswersResult result{std::nullopt, std::move(errors_)};
    if (!result.errors.empty())
        return result;
    answers_.text_ = std::string(text);
    result.answers = std::move(answers_);
    return result;
}

void AnswersChecker::readSection(const IniSection& ini)
{
    const std::size_t space = ini.name.find_first_of(" \t");
    const std::string_view kindName = std::string_view(ini.name).substr(0, space);
    std::string name;
    if (space != std::string::npos)
        name = ini.name.substr(ini.name.find_first_not_of(" \t", space));
    const AnswerSectionKind* kind = findSectionKind(kindName);
    if (!kind) {
        std::vector<std::string_view> kinds;
        for (const AnswerSectionKind& known : answerSchema())
            kinds.push_back(known.name);
        return fail({ini.line, ini.name, "", fmt::format("must begin with one of {}", fmt::join(kinds, ", "))});
    }
    if (!kind->named && !name.empty())
        return fail({ini.line, ini.name, "", fmt::format("must be written as [{}], without a name", kind->name)});
    if (kind->named && !isAnswerName(name)) {
        return fail({ini.line, ini.name, "",
            fmt::format(
                "must be written as [{} NAME] with a name of [a-z0-9-], 1 to {} characters", kind->name, nameLimit)});
    }
    auto& list = answers_.sections_[static_cast<std::size_t>(kind - answerSchema().data())];
    AnswerSection section(*kind, std::move(name), ini.line);
    // Only one spelling is allowed, so that a section that is declared twice has the same title both times.
    if (ini.name != section.title())
        return fail({ini.line, ini.name, "", fmt::format("must be written as [{}]", section.title())});
    readEntries(ini, section);
    list.push_back(std::move(section));
}

void AnswersChecker::readEntries(const IniSection& ini, AnswerSection& section)
{
    for (const IniEntry& entry : ini.entries)
        readEntry(entry, section);
    addDefaults(&ini, section);
}

void AnswersChecker::readEntry(const IniEntry& entry, AnswerSection& section)
{
    const AnswerField* field = section.kind().find(entry.key);
    if (!field) {
        std::vector<std::string_view> keys;
        for (const AnswerField& known : section.kind().fields)
            keys.push_back(known.key);
        return fail({entry.line, section.title(), entry.key,
            fmt::format("unknown key, must be one of {}", fmt::join(keys, ", "))});
    }
    if (const auto reason = field->check(entry.value))
        return fail({entry.line, section.title(), entry.key, *reason});
    section.set(entry.key, {entry.value, entry.line});
}

void AnswersChecker::addDefaults(const IniSection* ini, AnswerSection& section)
{
    for (const AnswerField& field : section.kind().fields) {
        if (ini && ini->find(field.key))
            continue;
        if (field.fallback)
            section.set(field.key, {std::string(*field.fallback), 0});
        else
            fail(section, field.key, fmt::format("the key is missing, must be {}", field.allowed()));
    }
}

void AnswersChecker::addAbsentSections()
{
    for (const AnswerSectionKind& kind : answerSchema()) {
        auto& list = answers_.sections_[static_cast<std::size_t>(&kind - answerSchema().data())];
        if (!list.empty())
            continue;
        const bool hasDefaults = std::all_of(kind.fields.begin(), kind.fields.end(),
            [](const AnswerField& field) { return field.fallback.has_value(); });
        if (!kind.named && hasDefaults) {
            addDefaults(nullptr, list.emplace_back(kind, "", 0));
            continue;
        }
        // Models and services may be added later; without the sections below, nothing could ever be served.
        if (kind.name == "deployment" || kind.name == "data_centre" || kind.name == "team")
            fail({0, std::string(kind.name), "", "the section is missing, must be given at least once"});
    }
}

void AnswersChecker::checkReferences(const AnswerSection& section)
{
    for (const AnswerField& field : section.kind().fields) {
        if (field.refersTo.empty() || !section.has(field.key))
            continue;
        std::set<std::string> seen;
        for (const std::string& name : section.list(field.key)) {
            checkReference(section, field, name);
            if (!seen.insert(name).second)
                fail(section, field.key, fmt::format("{} is listed twice", name));
        }
    }
}

void AnswersChecker::checkReference(const AnswerSection& section, const AnswerField& field, const std::string& name)
{
    if (answers_.find(field.refersTo, name))
        return;
    fail(section, field.key,
        fmt::format("there is no [{} {}], must name a declared {}", field.refersTo, name, field.refersTo));
}

void AnswersChecker::checkClass(const AnswerSection& section, const AnswerSection& user)
{
    if (!section.has("class") || !user.has("teams"))
        return;
    const AnswerSection* callerClass = answers_.find("class", section.text("class"));
    if (!callerClass || !callerClass->has("team") || contains(user.list("teams"), callerClass->text("team")))
        return;
    fail(section, "class",
        fmt::format("the class belongs to team {}, must belong to one of the teams that use this: {}",
            callerClass->text("team"), user.text("teams")));
}

void AnswersChecker::checkCalls()
{
    std::set<std::string> calledServices;
    std::set<std::string> patterns;
    for (const AnswerSection& call : answers_.sections("call")) {
        if (!call.has("service"))
            continue;
        calledServices.insert(call.text("service"));
        if (const AnswerSection* service = answers_.find("service", call.text("service")))
            checkClass(call, *service);
        if (!call.has("method") || !call.has("path_prefix"))
            continue;
        const std::string pattern
            = fmt::format("{} {} of {}", call.text("method"), call.text("path_prefix"), call.text("service"));
        if (!patterns.insert(pattern).second)
            fail(call, "path_prefix", fmt::format("another call has the same method and path: {}", pattern));
    }
    for (const AnswerSection& service : answers_.sections("service")) {
        if (!calledServices.contains(service.name()))
            fail(service, "", "the service has no [call NAME], must have at least one");
    }
}

void AnswersChecker::checkTargets()
{
    std::set<std::string> servedServices;
    for (const AnswerSection& target : answers_.sections("target")) {
        checkTarget(target);
        if (target.has("service"))
            servedServices.insert(target.text("service"));
    }
    for (const AnswerSection& service : answers_.sections("service")) {
        if (!servedServices.contains(service.name()))
            fail(service, "", "no [target NAME] runs the service, must be at least one");
    }
}

void AnswersChecker::checkTarget(const AnswerSection& target)
{
    if (!target.has("kind"))
        return;
    const bool engine = target.text("kind") == "engine";
    const std::string_view needed = engine ? "memory_bytes" : "service";
    const std::string_view forbidden = engine ? "service" : "memory_bytes";
    // A value that is not allowed has been reported already and is absent here.
    if (target.value(needed) && !target.has(needed)) {
        fail(target, needed, fmt::format("the key is missing, must be {}", target.kind().find(needed)->allowed()));
    }
    if (target.has(forbidden))
        fail(target, forbidden, fmt::format("must be left out for targets of kind {}", target.text("kind")));
}

void AnswersChecker::checkDistinct(std::string_view kind, std::string_view key, std::string_view reason)
{
    std::map<std::string, std::string> owners;
    for (const AnswerSection& section : answers_.sections(kind)) {
        if (!section.has(key))
            continue;
        const auto [owner, inserted] = owners.emplace(section.text(key), section.title());
        if (!inserted)
            fail(section, key, fmt::format("must differ from all others; {} [{}]", reason, owner->second));
    }
}

void AnswersChecker::checkMemory()
{
    std::vector<Bytes> bins;
    for (const AnswerSection& target : answers_.sections("target")) {
        // If the memory of an engine is unknown, a lack of memory may only follow from the error already reported.
        if (!target.has("kind") || !target.value("memory_bytes"))
            return;
        if (target.text("kind") == "engine")
            bins.push_back(target.size("memory_bytes"));
    }
    // An adapter needs its model on the same engine, so they are placed together.
    std::map<std::string, Bytes> adapterBytes;
    for (const AnswerSection& adapter : answers_.sections("adapter")) {
        if (adapter.has("model") && adapter.has("bytes"))
            adapterBytes[adapter.text("model")] += adapter.size("bytes");
    }
    std::vector<const AnswerSection*> models;
    std::vector<Bytes> items;
    Bytes largest;
    for (const Bytes bin : bins)
        largest = Bytes(std::max(largest.value(), bin.value()));
    for (const AnswerSection& model : answers_.sections("model")) {
        if (!model.has("bytes"))
            continue;
        const Bytes needed = model.size("bytes") + adapterBytes[model.name()];
        answers_.fit_.neededOnce += needed;
        if (needed.value() > largest.value()) {
            fail(model, "bytes",
                fmt::format(
                    "the model and its adapters need {}, must fit the largest engine, which has {}; {} are missing",
                    formatSize(needed), formatSize(largest), formatSize(needed - largest)));
            continue;
        }
        models.push_back(&model);
        items.push_back(needed);
    }
    for (const Bytes bin : bins)
        answers_.fit_.engineMemory += bin;
    const MemoryPacking packing = packMemory(items, bins);
    answers_.fit_.models = items.size();
    answers_.fit_.modelsTwice = packing.placedTwice;
    answers_.fit_.spare = packing.spare;
    if (packing.unplaced.empty())
        return;
    Bytes missing;
    for (const std::size_t item : packing.unplaced)
        missing += items[item];
    fail({0, "", "",
        fmt::format("one copy of every model with its adapters must fit into the engines: {} of {} models do not fit, "
                    "{} are missing (needed {}, engines have {})",
            packing.unplaced.size(), items.size(), formatSize(missing), formatSize(answers_.fit_.neededOnce),
            formatSize(answers_.fit_.engineMemory))});
}

void AnswersChecker::fail(const AnswerSection& section, std::string_view key, std::string reason)
{
    fail({lineOf(section, key), section.title(), std::string(key), std::move(reason)});
}

void AnswersChecker::fail(AnswerError error)
{
    if (errors_.size() < Answers::errorLimit)
        errors_.push_back(std::move(error));
    else
        ++suppressed_;
}

} // namespace lychee

#include "ctl/Questionnaire.h"

#include "protocol/Digest.h"
#include "state/Answers.h"

#include <absl/status/statusor.h>
#include <absl/strings/ascii.h>
#include <fmt/format.h>

#include <algorithm>

namespace lychee {

namespace {

constexpr std::string_view newTokenAnswer = "new";

} // namespace

Questionnaire::Questionnaire(std::filesystem::path file, std::istream& input, std::ostream& output)
    : file_(std::move(file))
    , input_(input)
    , output_(output)
{
}

ExitCode Questionnaire::run()
{
    auto draft = AnswersDraft::open(file_);
    if (!draft.ok()) {
        output_ << "lycheectl: " << draft.status().message() << "\n";
        return ExitCode::Usage;
    }
    draft_ = std::move(*draft);
    output_ << fmt::format("The answers are written to {}. Enter takes the default in brackets; Ctrl-D leaves; start "
                           "the questionnaire again to continue.\n",
        file_.string());
    return finish(askAll());
}

bool Questionnaire::askAll()
{
    const auto schema = answerSchema();
    return std::all_of(schema.begin(), schema.end(), [&](const AnswerSectionKind& kind) { return askKind(kind); });
}

bool Questionnaire::askKind(const AnswerSectionKind& kind)
{
    output_ << fmt::format("\n== {}: {}\n", kind.name, kind.description);
    for (const std::string& name : draft_->names(kind)) {
        if (!askSection(kind, name))
            return false;
    }
    while (kind.named) {
        const std::vector<std::string> known = draft_->names(kind);
        if (!known.empty())
            output_ << fmt::format("So far: {}.\n", fmt::join(known, ", "));
        const auto name
            = readLine(fmt::format("Name of {} {} (Enter: no more): ", known.empty() ? "a" : "another", kind.name));
        if (!name)
            return false;
        if (name->empty())
            return true;
        if (!isAnswerName(*name) || std::find(known.begin(), known.end(), *name) != known.end()) {
            output_ << fmt::format("  The name must be new, of [a-z0-9-], 1 to {} characters.\n", nameLimit);
            continue;
        }
        if (!askSection(kind, *name))
            return false;
    }
    return true;
}

bool Questionnaire::askSection(const AnswerSectionKind& kind, const std::string& name)
{
    return std::all_of(kind.fields.begin(), kind.fields.end(), [&](const AnswerField& field) {
        const auto value = draft_->value(kind, name, field.key);
        const bool answered = value && !validate(field, *value);
        return answered || !applies(kind, name, field) || askField(kind, name, field);
    });
}

bool Questionnaire::askField(const AnswerSectionKind& kind, const std::string& name, const AnswerField& field)
{
    output_ << fmt::format("{}{}{}\n  Why: {}\n  Allowed: {}{}\n", kind.named ? name : "", kind.named ? ": " : "",
        field.key, field.description, field.allowed(),
        field.type == AnswerValueType::Digest ? fmt::format("; {} makes a token and shows it once", newTokenAnswer)
                                              : "");
    if (!field.refersTo.empty())
        output_ << fmt::format("  Declared: {}\n", fmt::join(namesOf(field.refersTo), ", "));
    const bool hasDefault = field.fallback && !field.fallback->empty();
    const std::string prompt
        = hasDefault ? fmt::format("  {} [{}]: ", field.key, *field.fallback) : fmt::format("  {}: ", field.key);
    while (true) {
        auto value = readLine(prompt);
        if (!value)
            return false;
        if (value->empty() && hasDefault)
            value = std::string(*field.fallback);
        *value = generateTokenIfRequested(field, *value);
        const auto reason = validate(field, *value);
        if (reason) {
            output_ << fmt::format("  The answer {}.\n", *reason);
            continue;
        }
        failure_ = draft_->set(kind, name, field.key, *value);
        return failure_.ok();
    }
}

bool Questionnaire::applies(const AnswerSectionKind& kind, const std::string& name, const AnswerField& field) const
{
    const std::string target = kind.name == "target" ? draft_->value(kind, name, "kind").value_or("") : "";
    if (target == "engine")
        return field.key != "service";
    if (target == "service")
        return field.key != "memory_bytes" && field.key != "accelerators" && field.key != "fencing";
    return true;
}

std::optional<std::string> Questionnaire::validate(const AnswerField& field, const std::string& value) const
{
    if (value.empty())
        return fmt::format("must be {}", field.allowed());
    if (auto reason = field.check(value))
        return reason;
    if (field.refersTo.empty())
        return std::nullopt;
    const std::vector<std::string> known = namesOf(field.refersTo);
    for (const std::string& name : splitList(value)) {
        if (std::find(known.begin(), known.end(), name) == known.end())
            return fmt::format("must name a declared {}", field.refersTo);
    }
    return std::nullopt;
}

std::string Questionnaire::generateTokenIfRequested(const AnswerField& field, const std::string& value)
{
    if (field.type != AnswerValueType::Digest || value != newTokenAnswer)
        return value;
    const std::string token = randomHex128();
    output_ << fmt::format("  The token is {}. Keep it; only its hash is written.\n", token);
    return sha256Hex(token);
}

std::vector<std::string> Questionnaire::namesOf(std::string_view kind) const
{
    return draft_->names(*findSectionKind(kind));
}

std::optional<std::string> Questionnaire::readLine(const std::string& prompt)
{
    output_ << prompt << std::flush;
    std::string line;
    if (!std::getline(input_, line))
        return std::nullopt;
    absl::StripAsciiWhitespace(&line);
    return line;
}

ExitCode Questionnaire::finish(bool complete)
{
    if (!failure_.ok()) {
        output_ << "\nlycheectl: " << failure_.message() << "\n";
        return ExitCode::Failed;
    }
    if (!complete) {
        output_ << fmt::format("\nSaved. Continue with: lycheectl questionnaire {}\n", file_.string());
        return ExitCode::Ok;
    }
    const AnswersResult result = Answers::parse(draft_->text());
    if (result.ok()) {
        output_ << fmt::format("\nThe answers are complete. Next: lycheectl answers plan {}\n", file_.string());
        return ExitCode::Ok;
    }
    output_ << "\nThe answers are not complete yet:\n";
    for (const AnswerError& error : result.errors)
        output_ << "  " << toString(error) << "\n";
    return ExitCode::Usage;
}

} // namespace lychee

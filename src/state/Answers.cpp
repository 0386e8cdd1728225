#include "state/Answers.h"

#include "state/AnswersChecker.h"
#include "state/StateError.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace lychee {

void to_json(nlohmann::json& json, const AnswerError& error)
{
    json = {{"line", error.line}, {"section", error.section}, {"key", error.key}, {"reason", error.reason}};
}

std::string toString(const AnswerError& error)
{
    std::string text;
    if (error.line > 0)
        text += fmt::format("line {}: ", error.line);
    if (!error.section.empty())
        text += fmt::format("[{}] ", error.section);
    if (!error.key.empty())
        text += fmt::format("{}: ", error.key);
    return text + error.reason;
}

AnswerSection::AnswerSection(const AnswerSectionKind& kind, std::string name, std::size_t line)
    : kind_(&kind)
    , name_(std::move(name))
    , line_(line)
    , values_(kind.fields.size())
{
}

std::string AnswerSection::title() const
{
    return kind_->named ? fmt::format("{} {}", kind_->name, name_) : std::string(kind_->name);
}

std::size_t AnswerSection::indexOf(std::string_view key) const
{
    return static_cast<std::size_t>(kind_->find(key) - kind_->fields.data());
}

const std::optional<AnswerValue>& AnswerSection::value(std::string_view key) const { return values_[indexOf(key)]; }

void AnswerSection::set(std::string_view key, AnswerValue value) { values_[indexOf(key)] = std::move(value); }

bool AnswerSection::has(std::string_view key) const
{
    const auto& answer = value(key);
    return answer && !answer->text.empty();
}

const std::string& AnswerSection::text(std::string_view key) const { return value(key)->text; }

std::uint64_t AnswerSection::count(std::string_view key) const
{
    const std::string& digits = text(key);
    std::uint64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

double AnswerSection::real(std::string_view key) const
{
    const std::string& digits = text(key);
    double number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

Bytes AnswerSection::size(std::string_view key) const { return parseSize(text(key)).value_or(Bytes(0)); }

bool AnswerSection::boolean(std::string_view key) const { return text(key) == "yes"; }

std::vector<std::string> AnswerSection::list(std::string_view key) const { return splitList(text(key)); }

AnswersResult Answers::parse(std::string_view text) { return AnswersChecker().check(text); }

const std::vector<AnswerSection>& Answers::sections(std::string_view kind) const
{
    return sections_[static_cast<std::size_t>(findSectionKind(kind) - answerSchema().data())];
}

const AnswerSection* Answers::find(std::string_view kind, std::string_view name) const
{
    const auto& list = sections(kind);
    const auto found = std::lower_bound(list.begin(), list.end(), name,
        [](const AnswerSection& section, std::string_view wanted) { return section.name() < wanted; });
    return found != list.end() && found->name() == name ? &*found : nullptr;
}

absl::Status AnswersResult::status() const
{
    if (ok())
        return absl::OkStatus();
    const std::string first = errors.empty() ? "" : toString(errors.front());
    return makeError(StateError::AnswersInvalid, fmt::format("{} errors, the first: {}", errors.size(), first));
}

} // namespace lychee

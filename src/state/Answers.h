// The answers to the questionnaire, read from INI text and checked as a whole.
#pragma once

#include "protocol/Units.h"
#include "state/AnswerSchema.h"

#include <absl/status/status.h>
#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lychee {

// A violation of a rule of the answers.
struct AnswerError {
    // Counted from 1; 0 when the error concerns the whole text.
    std::size_t line = 0;
    // The section as written between the brackets, for example "team riders".
    std::string section;
    std::string key;
    // What is wrong, with the allowed range.
    std::string reason;

    bool operator==(const AnswerError&) const = default;
};

void to_json(nlohmann::json& json, const AnswerError& error);

// Formats as "line N: [SECTION] KEY: REASON".
std::string toString(const AnswerError& error);

// One answer, or its default.
struct AnswerValue {
    std::string text;
    // Counted from 1; 0 for a default.
    std::size_t line = 0;
};

// A section with a value for each field of its kind. The typed getters require a checked value.
class AnswerSection {
public:
    AnswerSection(const AnswerSectionKind& kind, std::string name, std::size_t line);

    const AnswerSectionKind& kind() const { return *kind_; }

    // The name after the kind; empty for kinds without names.
    const std::string& name() const { return name_; }

    // Line of the header; 0 when the section is absent and consists of defaults.
    std::size_t line() const { return line_; }

    // The section as written between the brackets.
    std::string title() const;

    // The value of a field of the kind; nothing when the given value is not allowed, or a required key is absent.
    const std::optional<AnswerValue>& value(std::string_view key) const;

    void set(std::string_view key, AnswerValue value);

    // Whether the field has a value that is not empty.
    bool has(std::string_view key) const;

    const std::string& text(std::string_view key) const;

    std::uint64_t count(std::string_view key) const;

    double real(std::string_view key) const;

    Bytes size(std::string_view key) const;

    bool boolean(std::string_view key) const;

    std::vector<std::string> list(std::string_view key) const;

private:
    std::size_t indexOf(std::string_view key) const;

    const AnswerSectionKind* kind_;
    std::string name_;
    std::size_t line_;
    // One element for each field of the kind, in its order.
    std::vector<std::optional<AnswerValue>> values_;
};

// How the declared artifacts fit into the memory of the engines.
struct MemoryFit {
    Bytes engineMemory;
    // Bytes of one copy of every model with its adapters.
    Bytes neededOnce;
    std::size_t models = 0;
    // Models of which a second copy also fits another engine, after every model has one copy.
    std::size_t modelsTwice = 0;
    // Memory left after all these copies.
    Bytes spare;
};

struct AnswersResult;

// A checked set of answers. The sections of one kind are sorted by their names.
class Answers {
public:
    // Limits of the text. Within two years, 10,000 targets of about 250 bytes each are expected.
    static constexpr std::size_t textLimit = 8 << 20;
    static constexpr std::size_t lineLimit = 4096;
    static constexpr std::size_t sectionLimit = 32768;
    static constexpr std::size_t errorLimit = 200;

    // Reads and checks the INI text; all errors are collected, in order of their lines. Never throws.
    static AnswersResult parse(std::string_view text);

    // The sections of a kind of answerSchema(), in order of their names.
    const std::vector<AnswerSection>& sections(std::string_view kind) const;

    // The section of a kind without names.
    const AnswerSection& single(std::string_view kind) const { return sections(kind).front(); }

    // The section with this kind and name; null when absent.
    const AnswerSection* find(std::string_view kind, std::string_view name) const;

    const MemoryFit& fit() const { return fit_; }

    // The text as submitted.
    const std::string& text() const { return text_; }

private:
    friend class AnswersChecker;

    std::string text_;
    std::vector<std::vector<AnswerSection>> sections_;
    MemoryFit fit_;
};

// Answers, or the errors in them; the answers are present only if there are no errors.
struct AnswersResult {
    std::optional<Answers> answers;
    std::vector<AnswerError> errors;

    bool ok() const { return answers.has_value(); }

    // OK, or StateError::AnswersInvalid with the first error and the number of errors.
    absl::Status status() const;
};

} // namespace lychee

// The schema of the answers to the questionnaire: sections, keys, allowed values, defaults and help texts.
#pragma once

#include "protocol/Units.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// The longest name of a team, model, target and so on, in bytes.
inline constexpr std::size_t nameLimit = 63;

// What kind of value an answer is.
enum class AnswerValueType {
    // [a-z0-9-].
    Name,
    // Names separated by commas.
    NameList,
    // A whole number between the bounds.
    Count,
    // A number between the bounds.
    Real,
    // A number of bytes between the bounds, with an optional KiB, MiB, GiB or TiB.
    Size,
    YesNo,
    // One of the words of `choices`.
    Choice,
    // [A-Za-z0-9._-].
    Version,
    // 64 lower-case hexadecimal digits.
    Digest,
    // An absolute path without a query.
    PathPrefix,
    // Numeric address and port.
    Address,
};

// A key of a section, which is one question. The parser, the explanation and the questionnaire use the same
// declaration.
struct AnswerField {
    std::string_view key;
    AnswerValueType type = AnswerValueType::Name;
    double lowest = 0;
    double highest = 0;
    // Allowed words, separated by commas.
    std::string_view choices;
    // Kind of the sections whose names are allowed; empty when the answer is no reference to a section.
    std::string_view refersTo;
    // The default of an absent key; nothing when the key is required.
    std::optional<std::string_view> fallback;
    // Help text that the questionnaire shows.
    std::string_view description;

    // A readable description of the allowed values.
    std::string allowed() const;

    // The reason for which `value` is not allowed; nothing when it is allowed. References are not checked.
    std::optional<std::string> check(std::string_view value) const;
};

// One kind of section, for example [team NAME].
struct AnswerSectionKind {
    std::string_view name;
    // Whether the section carries a name, so that it may appear several times.
    bool named = true;
    // Help text that the questionnaire shows.
    std::string_view description;
    std::span<const AnswerField> fields;

    // The field with this key; null when there is none.
    const AnswerField* find(std::string_view key) const;
};

// All kinds of sections, in the order of the questionnaire.
std::span<const AnswerSectionKind> answerSchema();

// The kind with this name; null when there is none.
const AnswerSectionKind* findSectionKind(std::string_view name);

// Whether `text` is a name of [a-z0-9-] of 1 to nameLimit bytes.
bool isAnswerName(std::string_view text);

// Parses a size such as 1024, 16 MiB or 80GiB; nothing when malformed or above 2^63 bytes.
std::optional<Bytes> parseSize(std::string_view text);

// A readable size: in the largest unit that divides it, or rounded to one decimal.
std::string formatSize(Bytes size);

// The names of a comma-separated list, without blanks around them.
std::vector<std::string> splitList(std::string_view text);

} // namespace lychee

// Builds checked answers from an INI document and collects every error.
#pragma once

#include "state/Answers.h"
#include "state/IniDocument.h"

namespace lychee {

// Checks one text; an object can be used only once.
class AnswersChecker {
public:
    AnswersResult check(std::string_view text);

private:
    void readSection(const IniSection& ini);

    void readEntries(const IniSection& ini, AnswerSection& section);

    void readEntry(const IniEntry& entry, AnswerSection& section);

    // Fills in defaults and reports required keys that were not given.
    void addDefaults(const IniSection* ini, AnswerSection& section);

    // Adds absent sections that consist of defaults, and reports absent sections that are required.
    void addAbsentSections();

    void checkReferences(const AnswerSection& section);

    void checkReference(const AnswerSection& section, const AnswerField& field, const std::string& name);

    // The class of a model or call must belong to one of the teams that use it.
    void checkClass(const AnswerSection& section, const AnswerSection& user);

    void checkCalls();

    void checkTargets();

    void checkTarget(const AnswerSection& target);

    // Reports sections of a kind that have the same value for a key whose values must be unique.
    void checkDistinct(std::string_view kind, std::string_view key, std::string_view reason);

    void checkMemory();

    void fail(const AnswerSection& section, std::string_view key, std::string reason);

    void fail(AnswerError error);

    Answers answers_;
    std::vector<AnswerError> errors_;
    std::size_t suppressed_ = 0;
};

} // namespace lychee

// Asks for the answers on the terminal and writes them to a file.
#pragma once

#include "ctl/AnswersDraft.h"
#include "ctl/ExitCode.h"

#include <istream>
#include <ostream>

namespace lychee {

// One run of the questionnaire. Each answer is saved immediately; a later run asks only for missing or invalid answers.
class Questionnaire {
public:
    Questionnaire(std::filesystem::path file, std::istream& input, std::ostream& output);

    // Returns when all questions are answered, the input ends, or the file cannot be read or written.
    ExitCode run();

private:
    // The ask functions return false when the input has ended or the file could not be written.
    bool askAll();

    bool askKind(const AnswerSectionKind& kind);

    bool askSection(const AnswerSectionKind& kind, const std::string& name);

    bool askField(const AnswerSectionKind& kind, const std::string& name, const AnswerField& field);

    // Whether the field is to be asked. The fields of a target depend on its kind, which is asked first.
    bool applies(const AnswerSectionKind& kind, const std::string& name, const AnswerField& field) const;

    // Why the value is invalid; std::nullopt when it is valid.
    std::optional<std::string> validate(const AnswerField& field, const std::string& value) const;

    // When the value asks for a new token, generates and prints one and returns its hash; otherwise returns the value.
    std::string generateTokenIfRequested(const AnswerField& field, const std::string& value);

    std::vector<std::string> namesOf(std::string_view kind) const;

    // Reads a line without surrounding blanks; std::nullopt at the end of the input.
    std::optional<std::string> readLine(const std::string& prompt);

    ExitCode finish(bool complete);

    std::filesystem::path file_;
    std::istream& input_;
    std::ostream& output_;
    std::optional<AnswersDraft> draft_;
    absl::Status failure_;
};

} // namespace lychee

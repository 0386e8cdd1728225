// Edits a file of answers in place and keeps its comments and layout.
#pragma once

#include "state/AnswerSchema.h"
#include "state/IniDocument.h"

#include <absl/status/statusor.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace lychee {

class AnswersDraft {
public:
    // Reads the file; an absent file is an empty draft. Fails when the file is unreadable, too large or malformed.
    static absl::StatusOr<AnswersDraft> open(const std::filesystem::path& path);

    // Names of the sections of a kind, in file order. A kind whose sections have no names gives one empty string.
    std::vector<std::string> names(const AnswerSectionKind& kind) const;

    // The value of a key; std::nullopt when the key is absent.
    std::optional<std::string> value(
        const AnswerSectionKind& kind, const std::string& name, std::string_view key) const;

    // Sets a key and writes the file. A missing section is appended to the file.
    absl::Status set(
        const AnswerSectionKind& kind, const std::string& name, std::string_view key, std::string_view value);

    std::string text() const;

private:
    explicit AnswersDraft(std::filesystem::path path)
        : path_(std::move(path))
    {
    }

    // Parses the lines again after a change.
    absl::Status reparse();

    absl::Status save() const;

    std::filesystem::path path_;
    std::vector<std::string> lines_;
    IniDocument document_;
};

} // namespace lychee

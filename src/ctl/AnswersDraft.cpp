#include "ctl/AnswersDraft.h"

#include "state/Answers.h"

#include <absl/status/statusor.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>

namespace lychee {

namespace {

std::string sectionTitle(const AnswerSectionKind& kind, const std::string& name)
{
    return kind.named ? fmt::format("{} {}", kind.name, name) : std::string(kind.name);
}

} // namespace

absl::StatusOr<AnswersDraft> AnswersDraft::open(const std::filesystem::path& path)
{
    AnswersDraft draft(path);
    std::error_code error;
    if (std::filesystem::exists(path, error)) {
        std::ifstream file;
        if (std::filesystem::is_regular_file(path, error)
            && std::filesystem::file_size(path, error) <= Answers::textLimit)
            file.open(path, std::ios::binary);
        if (!file.is_open())
            return absl::InvalidArgumentError(
                fmt::format("{}: not a readable file, or larger than an answers file may be", path.string()));
        for (std::string line; std::getline(file, line);)
            draft.lines_.push_back(line);
    }
    if (const absl::Status status = draft.reparse(); !status.ok())
        return status;
    return draft;
}

std::vector<std::string> AnswersDraft::names(const AnswerSectionKind& kind) const
{
    if (!kind.named)
        return {""};
    std::vector<std::string> names;
    const std::string prefix = fmt::format("{} ", kind.name);
    for (const IniSection& section : document_.sections) {
        if (section.name.starts_with(prefix))
            names.push_back(section.name.substr(prefix.size()));
    }
    return names;
}

std::optional<std::string> AnswersDraft::value(
    const AnswerSectionKind& kind, const std::string& name, std::string_view key) const
{
    const IniSection* section = document_.find(sectionTitle(kind, name));
    const IniEntry* entry = section ? section->find(key) : nullptr;
    if (!entry)
        return std::nullopt;
    return entry->value;
}

absl::Status AnswersDraft::set(
    const AnswerSectionKind& kind, const std::string& name, std::string_view key, std::string_view value)
{
    const std::string line = fmt::format("{} = {}", key, value);
    const IniSection* section = document_.find(sectionTitle(kind, name));
    const IniEntry* entry = section ? section->find(key) : nullptr;
    if (entry) {
        lines_[entry->line - 1] = line;
    } else if (section) {
        const std::size_t last = section->entries.empty() ? section->line : section->entries.back().line;
        lines_.insert(lines_.begin() + static_cast<std::ptrdiff_t>(last), line);
    } else {
        if (!lines_.empty())
            lines_.emplace_back();
        lines_.push_back(fmt::format("[{}]", sectionTitle(kind, name)));
        lines_.push_back(line);
    }
    if (const absl::Status status = reparse(); !status.ok())
        return status;
    return save();
}

std::string AnswersDraft::text() const
{
    std::string text;
    for (const std::string& line : lines_)
        text.append(line).append("\n");
    return text;
}

absl::Status AnswersDraft::reparse()
{
    document_ = IniDocument::parse(text(), {Answers::textLimit, Answers::lineLimit, Answers::sectionLimit, 1});
    if (document_.errors.empty())
        return absl::OkStatus();
    const IniError& error = document_.errors.front();
    return absl::InvalidArgumentError(fmt::format("{}: line {}: {}", path_.string(), error.line, error.reason));
}

absl::Status AnswersDraft::save() const
{
    // Writes a temporary file and renames it, so that an interruption never leaves a partly written file.
    std::filesystem::path temporary = path_;
    temporary += ".new";
    std::ofstream file(temporary, std::ios::binary | std::ios::trunc);
    file << text();
    file.close();
    std::error_code error;
    if (file)
        std::filesystem::rename(temporary, path_, error);
    if (!file || error)
        return absl::UnavailableError(fmt::format("{}: the answers cannot be written to this file", path_.string()));
    return absl::OkStatus();
}

} // namespace lychee

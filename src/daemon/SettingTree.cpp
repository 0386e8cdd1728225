#include "daemon/SettingTree.h"

#include <algorithm>
#include <fstream>

namespace lychee {

namespace {

constexpr IniLimits limits{.textBytes = 64 << 10, .lineBytes = 4096, .sections = 64, .errors = 100};

// Reads one settings file into a tree and collects all errors.
class SettingsLoader {
public:
    SettingsLoader(SettingTree& tree, const std::filesystem::path& file)
        : tree_(tree)
        , file_(file)
    {
    }

    std::vector<std::string> run(
        std::string_view text, const std::function<void(const SettingTree::ErrorReporter&)>& check)
    {
        const IniDocument document = IniDocument::parse(text, limits);
        for (const IniError& error : document.errors)
            addError(error.line, error.section, error.key, error.reason);
        for (const IniSection& section : document.sections)
            readSection(section);
        for (const SettingSection* section : tree_.sections())
            checkRequiredKeys(*section, document.find(section->name()));
        check([&](std::string_view section, std::string_view key, const std::string& reason) {
            const IniSection* ini = document.find(section);
            addError(ini ? ini->line : 0, section, key, reason);
        });
        return std::move(errors_);
    }

private:
    void readSection(const IniSection& ini)
    {
        const auto& sections = tree_.sections();
        const auto found = std::find_if(sections.begin(), sections.end(),
            [&](const SettingSection* section) { return section->name() == ini.name; });
        if (found == sections.end()) {
            std::vector<std::string_view> names;
            names.reserve(sections.size());
            for (const SettingSection* section : sections)
                names.push_back(section->name());
            addError(ini.line, ini.name, "", fmt::format("unknown section, must be one of {}", fmt::join(names, ", ")));
            return;
        }
        for (const IniEntry& entry : ini.entries)
            readEntry(**found, entry);
    }

    void readEntry(const SettingSection& section, const IniEntry& entry)
    {
        SettingBase* setting = section.find(entry.key);
        if (!setting) {
            std::vector<std::string_view> keys;
            keys.reserve(section.members().size());
            for (const SettingBase* member : section.members())
                keys.push_back(member->declaration().key);
            addError(entry.line, section.name(), entry.key,
                fmt::format("unknown key, must be one of {}", fmt::join(keys, ", ")));
            return;
        }
        // A template leaves the value empty where the deployment has none.
        if (entry.value.empty() && setting->declaration().fallback)
            return;
        if (!setting->assign(entry.value, file_.parent_path()))
            addError(entry.line, section.name(), entry.key, fmt::format("must be {}", setting->allowed()));
    }

    void checkRequiredKeys(const SettingSection& section, const IniSection* ini)
    {
        for (const SettingBase* setting : section.members()) {
            const SettingDeclaration& declaration = setting->declaration();
            if (declaration.fallback || (ini && ini->find(declaration.key)))
                continue;
            addError(ini ? ini->line : 0, section.name(), declaration.key,
                fmt::format("the key is missing, must be {}", setting->allowed()));
        }
    }

    void addError(std::size_t line, std::string_view section, std::string_view key, std::string_view reason)
    {
        std::string text = file_.string() + ": ";
        if (line > 0)
            text += fmt::format("line {}: ", line);
        if (!section.empty())
            text += fmt::format("[{}] ", section);
        if (!key.empty())
            text += fmt::format("{}: ", key);
        errors_.push_back(text + std::string(reason));
    }

    SettingTree& tree_;
    const std::filesystem::path& file_;
    std::vector<std::string> errors_;
};

} // namespace

SettingBase::SettingBase(SettingSection& section, const SettingDeclaration& declaration)
    : declaration_(declaration)
{
    section.members_.push_back(this);
}

SettingSection::SettingSection(
    std::vector<SettingSection*>& sections, std::string_view name, std::string_view description)
    : name_(name)
    , description_(description)
{
    sections.push_back(this);
}

SettingBase* SettingSection::find(std::string_view key) const
{
    const auto found = std::find_if(
        members_.begin(), members_.end(), [&](const SettingBase* member) { return member->declaration().key == key; });
    return found == members_.end() ? nullptr : *found;
}

std::vector<std::string> SettingTree::assignFile(const std::filesystem::path& file)
{
    std::error_code error;
    std::ifstream stream;
    if (std::filesystem::is_regular_file(file, error))
        stream.open(file, std::ios::binary);
    if (!stream.is_open())
        return {fmt::format("{}: the settings must be a readable file", file.string())};
    std::string text(limits.textBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return assignText(text, file);
}

std::vector<std::string> SettingTree::assignText(std::string_view text, const std::filesystem::path& file)
{
    return SettingsLoader(*this, file).run(text, [this](const ErrorReporter& report) { checkCombinations(report); });
}

std::string SettingTree::describeAs(std::string_view title) const
{
    std::string text
        = fmt::format("# {}\n\n"
                      "Generated by `lycheecoursed --describe-settings`. The file is INI text; `--check` validates it. "
                      "Tokens and keys are only read from the files named here.\n",
            title);
    for (const SettingSection* section : sections_) {
        text += fmt::format("\n## [{}]\n\n{}\n\n", section->name(), section->description());
        text += "| key | allowed | default | unit | description |\n|---|---|---|---|---|\n";
        for (const SettingBase* setting : section->members()) {
            const SettingDeclaration& declaration = setting->declaration();
            std::string fallback = "required";
            if (declaration.fallback)
                fallback = declaration.fallback->empty() ? "none" : fmt::format("`{}`", *declaration.fallback);
            text += fmt::format("| `{}` | {} | {} | {} | {} |\n", declaration.key, setting->allowed(), fallback,
                declaration.unit, declaration.description);
        }
    }
    return text;
}

} // namespace lychee

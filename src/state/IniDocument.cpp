#include "state/IniDocument.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <sstream>
#include <unordered_set>

namespace lychee {

namespace {

constexpr std::string_view blanks = " \t\r";

std::string_view trim(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

// A carriage return is allowed only at the end of a line; Boost's parser treats it as a blank.
bool hasControlCharacter(std::string_view line)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return std::any_of(line.begin(), line.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

bool isUtf8(std::string_view line)
{
    if (std::none_of(line.begin(), line.end(), [](char c) { return static_cast<unsigned char>(c) >= 0x80; }))
        return true;
    try {
        static_cast<void>(nlohmann::json(std::string(line)).dump());
        return true;
    } catch (const nlohmann::json::exception&) {
        return false;
    }
}

// Finds the line of each section and key. Boost's parser provides no line numbers for parsed values and stops at the
// first error, so malformed lines are recorded here and removed from the text that it reads.
class LineIndex {
public:
    LineIndex(const IniLimits& limits, IniDocument& document)
        : limits_(limits)
        , document_(document)
    {
    }

    // Returns the well-formed lines of the text.
    std::string scan(std::string_view text)
    {
        std::string wellFormed;
        wellFormed.reserve(text.size() + 1);
        std::size_t line = 0;
        while (!text.empty()) {
            const std::size_t length = std::min(text.find('\n'), text.size());
            const std::string_view content = text.substr(0, length);
            text.remove_prefix(std::min(length + 1, text.size()));
            if (accept(content, ++line))
                wellFormed.append(content).append("\n");
        }
        reportSuppressed(line);
        return wellFormed;
    }

private:
    bool accept(std::string_view raw, std::size_t line)
    {
        if (raw.size() > limits_.lineBytes)
            return fail(line, "", fmt::format("the line must have at most {} bytes", limits_.lineBytes));
        if (hasControlCharacter(raw))
            return fail(line, "", "control characters are not allowed");
        if (!isUtf8(raw))
            return fail(line, "", "the text must be UTF-8");
        const std::string_view content = trim(raw);
        if (content.empty() || content.front() == ';' || content.front() == '#')
            return false;
        return content.front() == '[' ? acceptSection(content, line) : acceptEntry(content, line);
    }

    bool acceptSection(std::string_view content, std::size_t line)
    {
        skipping_ = true;
        if (content.find(']') != content.size() - 1)
            return fail(line, "", "a section must be written as [NAME] alone on its line");
        const std::string name(trim(content.substr(1, content.size() - 2)));
        section_ = name;
        if (name.empty())
            return fail(line, "", "the section has no name");
        if (!sectionNames_.insert(name).second)
            return fail(line, "", "the section is declared twice");
        if (document_.sections.size() == limits_.sections)
            return fail(line, "", fmt::format("at most {} sections are allowed", limits_.sections));
        sectionKeys_.clear();
        skipping_ = false;
        document_.sections.push_back({name, line, {}});
        return true;
    }

    bool acceptEntry(std::string_view content, std::size_t line)
    {
        const std::size_t equals = content.find('=');
        const std::string key(trim(content.substr(0, std::min(equals, content.size()))));
        if (equals == std::string_view::npos || key.empty())
            return fail(line, "", "the line must be written as KEY = VALUE");
        if (document_.sections.empty() && !skipping_)
            return fail(line, key, "the key must not come before the first section");
        if (skipping_)
            return false;
        if (!sectionKeys_.insert(key).second)
            return fail(line, key, "the key is given twice");
        document_.sections.back().entries.push_back({key, "", line});
        return true;
    }

    bool fail(std::size_t line, std::string_view key, std::string reason)
    {
        if (document_.errors.size() < limits_.errors)
            document_.errors.push_back({line, section_, std::string(key), std::move(reason)});
        else
            ++suppressed_;
        return false;
    }

    void reportSuppressed(std::size_t line)
    {
        if (suppressed_ > 0)
            document_.errors.push_back({line, "", "", fmt::format("{} more errors are not listed", suppressed_)});
    }

    const IniLimits& limits_;
    IniDocument& document_;
    std::string section_;
    std::unordered_set<std::string> sectionNames_;
    std::unordered_set<std::string> sectionKeys_;
    // Whether the current section was rejected, so that its keys are skipped.
    bool skipping_ = false;
    std::size_t suppressed_ = 0;
};

void readValues(const std::string& wellFormed, IniDocument& document)
{
    boost::property_tree::ptree tree;
    try {
        std::istringstream stream(wellFormed);
        boost::property_tree::read_ini(stream, tree);
    } catch (const boost::property_tree::ini_parser_error& error) {
        document.errors.push_back({0, "", "", error.message()});
        document.sections.clear();
        return;
    }
    for (IniSection& section : document.sections) {
        const auto found = tree.find(section.name);
        for (IniEntry& entry : section.entries)
            entry.value = found->second.find(entry.key)->second.data();
    }
}

} // namespace

const IniEntry* IniSection::find(std::string_view key) const
{
    const auto found
        = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

const IniSection* IniDocument::find(std::string_view name) const
{
    const auto found
        = std::find_if(sections.begin(), sections.end(), [&](const auto& section) { return section.name == name; });
    return found == sections.end() ? nullptr : &*found;
}

IniDocument IniDocument::parse(std::string_view text, const IniLimits& limits)
{
    IniDocument document;
    if (text.size() > limits.textBytes) {
        document.errors.push_back({0, "", "", fmt::format("the text must have at most {} bytes", limits.textBytes)});
        return document;
    }
    const std::string wellFormed = LineIndex(limits, document).scan(text);
    readValues(wellFormed, document);
    return document;
}

} // namespace lychee

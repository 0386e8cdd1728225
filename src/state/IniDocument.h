// Parses INI text; provides the line of every section and key, and all syntax errors.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

struct IniEntry {
    std::string key;
    std::string value;
    // Counted from 1.
    std::size_t line = 0;
};

struct IniSection {
    std::string name;
    // Line of the section's header, counted from 1.
    std::size_t line = 0;
    std::vector<IniEntry> entries;

    // The entry with this key; null when absent.
    const IniEntry* find(std::string_view key) const;
};

// A violation of the syntax or the limits.
struct IniError {
    std::size_t line = 0;
    std::string section;
    std::string key;
    std::string reason;
};

// Limits of the input, in bytes and counts.
struct IniLimits {
    std::size_t textBytes = 1 << 20;
    std::size_t lineBytes = 4096;
    std::size_t sections = 1024;
    // Errors beyond this number are only counted, in one last entry.
    std::size_t errors = 200;
};

// The sections of an INI text in order of appearance. Sections and keys with errors are left out.
struct IniDocument {
    std::vector<IniSection> sections;
    std::vector<IniError> errors;

    // Never throws; every malformed line becomes one error.
    static IniDocument parse(std::string_view text, const IniLimits& limits);

    // The section with this name; null when absent.
    const IniSection* find(std::string_view name) const;
};

} // namespace lychee

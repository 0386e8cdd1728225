// Formats text tables for the terminal.
#pragma once

#include <string>
#include <vector>

namespace lychee {

// Rows of cells under headings; columns are as wide as their longest cell.
class Table {
public:
    explicit Table(std::vector<std::string> headings);

    // Adds a row with a cell for each heading. Control characters are replaced, so that text from an instance
    // cannot control the terminal.
    void add(std::vector<std::string> cells);

    std::string toString() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

// Replaces control characters by "?", because they could control the terminal.
std::string printable(std::string text);

} // namespace lychee

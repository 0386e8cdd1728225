#include "ctl/Table.h"

#include <fmt/format.h>

#include <algorithm>

namespace lychee {

Table::Table(std::vector<std::string> headings)
    : rows_{std::move(headings)}
{
}

void Table::add(std::vector<std::string> cells)
{
    for (std::string& cell : cells)
        cell = printable(std::move(cell));
    rows_.push_back(std::move(cells));
}

std::string Table::toString() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += fmt::format("{:<{}}  ", row[i], widths[i]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, '?');
    return text;
}

} // namespace lychee

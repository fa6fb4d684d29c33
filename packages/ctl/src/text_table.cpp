#include "text_table.h"

#include <algorithm>

namespace gypsumstep::ctl::detail {

namespace {

constexpr std::size_t column_gap = 2;

/// Width on a terminal, counted in code points of UTF-8.
std::size_t width_of(const std::string& cell)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        cell, [](char letter) { return (static_cast<unsigned char>(letter) & 0xC0U) != 0x80U; }));
}

} // namespace

std::string text_table::text() const
{
    if (m_rows.size() < 2) {
        return {};
    }
    std::vector<std::size_t> widths;
    for (const auto& row : m_rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], width_of(row[i]));
        }
    }
    std::string result;
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i + 1 < row.size(); ++i) {
            result += row[i] + std::string(widths[i] - width_of(row[i]) + column_gap, ' ');
        }
        result += row.empty() ? "\n" : row.back() + "\n";
    }
    return result;
}

} // namespace gypsumstep::ctl::detail

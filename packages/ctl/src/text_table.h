/// \file
/// Tables of aligned columns for a terminal.
#pragma once

#include <string>
#include <vector>

namespace gypsumstep::ctl::detail {

/// Rows whose columns are as wide as their widest cell, two spaces apart.
class text_table {
public:
    explicit text_table(std::vector<std::string> header) { add(std::move(header)); }

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }

    /// The table with a line break after each row; empty if there is only the header.
    [[nodiscard]] std::string text() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace gypsumstep::ctl::detail

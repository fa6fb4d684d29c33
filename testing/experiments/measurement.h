/// \file
/// Tables of measured figures and straight lines through them.
#pragma once

#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace gypsumstep::experiments {

/// A straight line through points by least squares.
struct linear_fit {
    double slope{0};
    double intercept{0};
    double residual{0}; ///< root of the mean squared distance, in the unit of y
};

/// The line through the points (x, y); at least two different x are needed.
[[nodiscard]] linear_fit fit_line(const std::vector<double>& x, const std::vector<double>& y);

/// Figures measured at several sizes.
class measurement {
public:
    /// \param name what was run
    /// \param variable the size that was varied, first column
    /// \param quantities what was measured, with units
    measurement(std::string name, std::string variable, std::vector<std::string> quantities);

    /// Adds the figures measured at one size, in the order of the quantities.
    void add(double size, std::vector<double> values);

    /// Writes the figures and, for each quantity, the fitted line.
    void print(std::ostream& out) const;

    [[nodiscard]] nlohmann::json to_json() const;

private:
    std::string m_name;
    std::string m_variable;
    std::vector<std::string> m_quantities;
    std::vector<double> m_sizes;
    std::vector<std::vector<double>> m_values;

    [[nodiscard]] linear_fit fit_of(std::size_t quantity) const;
};

} // namespace gypsumstep::experiments

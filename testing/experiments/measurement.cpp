#include "measurement.h"

#include <cmath>
#include <iomanip>
#include <utility>

namespace gypsumstep::experiments {
namespace {

constexpr int column_width = 22;
constexpr int digits = 5;

} // namespace

linear_fit fit_line(const std::vector<double>& x, const std::vector<double>& y)
{
    const auto count = static_cast<double>(x.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        sum_x += x[index];
        sum_y += y[index];
        sum_xx += x[index] * x[index];
        sum_xy += x[index] * y[index];
    }
    const double slope =
        ((count * sum_xy) - (sum_x * sum_y)) / ((count * sum_xx) - (sum_x * sum_x));
    const double intercept = (sum_y - (slope * sum_x)) / count;
    double squares = 0;
    for (std::size_t index = 0; index < x.size(); ++index) {
        squares += std::pow(y[index] - intercept - (slope * x[index]), 2);
    }
    return {slope, intercept, std::sqrt(squares / count)};
}

measurement::measurement(std::string name, std::string variable,
                         std::vector<std::string> quantities)
    : m_name{std::move(name)}, m_variable{std::move(variable)}, m_quantities{std::move(quantities)},
      m_values(m_quantities.size())
{
}

void measurement::add(double size, std::vector<double> values)
{
    m_sizes.push_back(size);
    for (std::size_t index = 0; index < m_values.size(); ++index) {
        m_values[index].push_back(values.at(index));
    }
}

void measurement::print(std::ostream& out) const
{
    out << "\n" << m_name << "\n" << std::setprecision(digits);
    out << std::setw(column_width) << m_variable;
    for (const std::string& quantity : m_quantities) {
        out << std::setw(column_width) << quantity;
    }
    out << "\n";
    for (std::size_t row = 0; row < m_sizes.size(); ++row) {
        out << std::setw(column_width) << m_sizes[row];
        for (const auto& column : m_values) {
            out << std::setw(column_width) << column[row];
        }
        out << "\n";
    }
    const auto print_fit = [&](const char* label, double linear_fit::*part) {
        out << std::setw(column_width) << label;
        for (std::size_t index = 0; index < m_quantities.size(); ++index) {
            out << std::setw(column_width) << fit_of(index).*part;
        }
        out << "\n";
    };
    print_fit("slope", &linear_fit::slope);
    print_fit("intercept", &linear_fit::intercept);
    print_fit("residual (rms)", &linear_fit::residual);
}

nlohmann::json measurement::to_json() const
{
    nlohmann::json result{{"name", m_name}, {"variable", m_variable}, {"sizes", m_sizes}};
    for (std::size_t index = 0; index < m_quantities.size(); ++index) {
        const linear_fit fit = fit_of(index);
        result["quantities"][m_quantities[index]] = {{"values", m_values[index]},
                                                     {"slope", fit.slope},
                                                     {"intercept", fit.intercept},
                                                     {"residual_rms", fit.residual}};
    }
    return result;
}

linear_fit measurement::fit_of(std::size_t quantity) const
{
    return fit_line(m_sizes, m_values[quantity]);
}

} // namespace gypsumstep::experiments

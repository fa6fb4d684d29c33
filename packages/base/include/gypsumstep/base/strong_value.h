/// \file
/// Distinct integer types, so that for example a term cannot be passed as a position.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace gypsumstep {

/// An integer type that can only be compared with values of the same \p Tag.
///
/// \tparam Tag an empty type that names the kind of value
/// \tparam Rep the underlying integer type
template <class Tag, class Rep = std::uint64_t>
class strong_value {
public:
    using rep = Rep;

    constexpr strong_value() = default;
    constexpr explicit strong_value(Rep value) : m_value{value} {}

    /// The stored integer.
    [[nodiscard]] constexpr Rep value() const { return m_value; }

    /// The value plus one.
    [[nodiscard]] constexpr strong_value next() const
    {
        return strong_value{static_cast<Rep>(m_value + 1)};
    }

    friend constexpr auto operator<=>(strong_value, strong_value) = default;

private:
    Rep m_value{};
};

} // namespace gypsumstep

template <class Tag, class Rep>
struct std::hash<gypsumstep::strong_value<Tag, Rep>> {
    std::size_t operator()(gypsumstep::strong_value<Tag, Rep> value) const noexcept
    {
        return std::hash<Rep>{}(value.value());
    }
};

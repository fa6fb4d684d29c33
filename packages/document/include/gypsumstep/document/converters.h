/// \file
/// Converters from JSON values to the types that settings and configurations use.
#pragma once

#include "gypsumstep/base/time.h"
#include "gypsumstep/document/object_reader.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gypsumstep::document {

namespace detail {

/// An integer in [low, high]; reports anything else.
std::optional<std::uint64_t> read_unsigned(const node& value, const read_context& context,
                                           std::uint64_t low, std::uint64_t high);

} // namespace detail

/// An unsigned integer in [low, high].
template <std::unsigned_integral T>
struct unsigned_between {
    T low{0};
    T high{std::numeric_limits<T>::max()};

    std::optional<T> operator()(const node& value, const read_context& context) const
    {
        const auto number = detail::read_unsigned(value, context, low, high);
        return number ? std::optional<T>{static_cast<T>(*number)} : std::nullopt;
    }
};

/// A TCP port, 1 to 65535.
inline constexpr unsigned_between<std::uint16_t> port_number{1, 65535};

/// A whole number of milliseconds in [low, high].
struct milliseconds_between {
    std::uint64_t low{0};
    std::uint64_t high{0};

    std::optional<duration> operator()(const node& value, const read_context& context) const;
};

/// true or false.
struct boolean {
    std::optional<bool> operator()(const node& value, const read_context& context) const;
};

/// A string whose length in bytes is in [min_length, max_length].
struct text {
    std::size_t min_length{0};
    std::size_t max_length{4096};

    std::optional<std::string> operator()(const node& value, const read_context& context) const;
};

/// A name: 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'.
struct name {
    std::optional<std::string> operator()(const node& value, const read_context& context) const;
};

/// True if the converter \c name accepts \p value.
[[nodiscard]] bool is_name(std::string_view value);

/// An IPv4 or IPv6 address in numeric form; host names are refused.
struct ip_address {
    std::optional<std::string> operator()(const node& value, const read_context& context) const;
};

/// A number between 0 and 1; the flags say whether 0 and 1 themselves are allowed.
struct fraction {
    bool allow_zero{true};
    bool allow_one{true};

    std::optional<double> operator()(const node& value, const read_context& context) const;
};

/// One of a few strings.
struct one_of {
    std::vector<std::string_view> choices;

    std::optional<std::string> operator()(const node& value, const read_context& context) const;
};

/// An array of min_count to max_count elements that \p Element reads as T.
template <class T, converter_to<T> Element>
struct array_of {
    Element element;
    std::size_t min_count{0};
    std::size_t max_count{std::numeric_limits<std::size_t>::max()};

    std::optional<std::vector<T>> operator()(const node& value, const read_context& context) const
    {
        const auto* elements = std::get_if<array>(&value.value);
        if (elements == nullptr) {
            context.report(value.place, std::string{"must be an array, is "} + kind_of(value));
            return std::nullopt;
        }
        if (elements->size() < min_count || elements->size() > max_count) {
            context.report(value.place, "must have " + std::to_string(min_count) + " to " +
                                            std::to_string(max_count) + " elements, has " +
                                            std::to_string(elements->size()));
            return std::nullopt;
        }
        std::vector<T> result;
        for (std::size_t i = 0; i < elements->size(); ++i) {
            if (auto converted = element((*elements)[i], context.child(i))) {
                result.push_back(std::move(*converted));
            }
        }
        return result.size() == elements->size() ? std::optional{std::move(result)} : std::nullopt;
    }
};

} // namespace gypsumstep::document

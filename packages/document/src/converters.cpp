#include "gypsumstep/document/converters.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace gypsumstep::document {

namespace {

constexpr std::size_t max_name_length = 64;

const std::string* read_string(const node& value, const read_context& context)
{
    const auto* found = std::get_if<std::string>(&value.value);
    if (found == nullptr) {
        context.report(value.place, std::string{"must be a string, is "} + kind_of(value));
    }
    return found;
}

bool is_ip_address(const std::string& value)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer{};
    return inet_pton(AF_INET, value.c_str(), buffer.data()) == 1 ||
           inet_pton(AF_INET6, value.c_str(), buffer.data()) == 1;
}

std::optional<double> as_double(const node& value)
{
    if (const auto* fractional = std::get_if<double>(&value.value)) {
        return *fractional;
    }
    if (const auto* positive = std::get_if<std::uint64_t>(&value.value)) {
        return static_cast<double>(*positive);
    }
    if (const auto* negative = std::get_if<std::int64_t>(&value.value)) {
        return static_cast<double>(*negative);
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> detail::read_unsigned(const node& value, const read_context& context,
                                                   std::uint64_t low, std::uint64_t high)
{
    const auto* number = std::get_if<std::uint64_t>(&value.value);
    if (number == nullptr || *number < low || *number > high) {
        context.report(value.place, "must be an integer from " + std::to_string(low) + " to " +
                                        std::to_string(high));
        return std::nullopt;
    }
    return *number;
}

std::optional<duration> milliseconds_between::operator()(const node& value,
                                                         const read_context& context) const
{
    const auto number = detail::read_unsigned(value, context, low, high);
    if (!number) {
        return std::nullopt;
    }
    return std::chrono::milliseconds{*number};
}

std::optional<bool> boolean::operator()(const node& value, const read_context& context) const
{
    const auto* found = std::get_if<bool>(&value.value);
    if (found == nullptr) {
        context.report(value.place, std::string{"must be true or false, is "} + kind_of(value));
        return std::nullopt;
    }
    return *found;
}

std::optional<std::string> text::operator()(const node& value, const read_context& context) const
{
    const auto* found = read_string(value, context);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (found->size() < min_length || found->size() > max_length) {
        context.report(value.place, "must be " + std::to_string(min_length) + " to " +
                                        std::to_string(max_length) + " bytes long, is " +
                                        std::to_string(found->size()));
        return std::nullopt;
    }
    return *found;
}

bool is_name(std::string_view value)
{
    constexpr std::string_view allowed{"abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                       "0123456789-_."};
    return !value.empty() && value.size() <= max_name_length &&
           value.find_first_not_of(allowed) == std::string_view::npos;
}

std::optional<std::string> name::operator()(const node& value, const read_context& context) const
{
    const auto* found = read_string(value, context);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!is_name(*found)) {
        context.report(value.place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        return std::nullopt;
    }
    return *found;
}

std::optional<std::string> ip_address::operator()(const node& value,
                                                  const read_context& context) const
{
    const auto* found = read_string(value, context);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!is_ip_address(*found)) {
        context.report(value.place, "must be an IPv4 or IPv6 number");
        return std::nullopt;
    }
    return *found;
}

std::optional<double> fraction::operator()(const node& value, const read_context& context) const
{
    const auto number = as_double(value);
    const bool fits = number && (allow_zero ? *number >= 0.0 : *number > 0.0) &&
                      (allow_one ? *number <= 1.0 : *number < 1.0);
    if (!fits) {
        context.report(value.place, std::string{"must be a number in "} + (allow_zero ? "[" : "(") +
                                        "0, 1" + (allow_one ? "]" : ")"));
        return std::nullopt;
    }
    return number;
}

std::optional<std::string> one_of::operator()(const node& value, const read_context& context) const
{
    const auto* found = read_string(value, context);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (std::ranges::find(choices, *found) != choices.end()) {
        return *found;
    }
    std::string message{"must be one of"};
    for (const std::string_view choice : choices) {
        message += std::string{" \""} + std::string{choice} + "\"";
    }
    context.report(value.place, std::move(message));
    return std::nullopt;
}

} // namespace gypsumstep::document

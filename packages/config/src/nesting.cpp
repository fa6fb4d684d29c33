#include "gypsumstep/config/nesting.h"

#include <algorithm>
#include <limits>

namespace gypsumstep::config {
namespace {

using json = nlohmann::json;

/// SAX handler that stores no values and stops the parser at the first level or
/// element count above the limit.
class bounds_check : public json::json_sax_t {
public:
    bounds_check(std::size_t levels, std::size_t elements)
        : m_levels_left{levels}, m_max_elements{elements}
    {
    }

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(json::number_integer_t /*value*/) override { return true; }
    bool number_unsigned(json::number_unsigned_t /*value*/) override { return true; }
    bool number_float(json::number_float_t /*value*/, const std::string& /*text*/) override
    {
        return true;
    }
    bool string(std::string& /*value*/) override { return true; }
    bool binary(json::binary_t& /*value*/) override { return true; }
    bool key(std::string& /*value*/) override { return true; }
    bool start_object(std::size_t elements) override { return enter(elements); }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t elements) override { return enter(elements); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const json::exception& /*problem*/) override
    {
        return false;
    }

private:
    bool enter(std::size_t elements)
    {
        const bool unknown_size = elements == std::numeric_limits<std::size_t>::max();
        if (m_levels_left == 0 || (!unknown_size && elements > m_max_elements)) {
            return false;
        }
        --m_levels_left;
        return true;
    }

    bool leave()
    {
        ++m_levels_left;
        return true;
    }

    std::size_t m_levels_left;
    std::size_t m_max_elements;
};

} // namespace

bool is_nested_within(const json& value, std::size_t limit)
{
    if (!value.is_structured()) {
        return true;
    }
    return limit > 0 && std::ranges::all_of(value, [limit](const json& element) {
               return is_nested_within(element, limit - 1);
           });
}

bool is_bounded_cbor(const std::string& body, std::size_t limit)
{
    bounds_check check{limit, body.size()};
    return json::sax_parse(body, &check, json::input_format_t::cbor);
}

} // namespace gypsumstep::config

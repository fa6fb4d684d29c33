#include "gypsumstep/ctl/patch_file.h"

#include "gypsumstep/document/parse.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace gypsumstep::ctl {

namespace {

std::string read_all(std::istream& source)
{
    return {std::istreambuf_iterator<char>{source}, {}};
}

} // namespace

result<nlohmann::json> read_patch_file(const std::string& path)
{
    const bool is_standard_input = path == "-";
    std::ifstream file;
    if (!is_standard_input) {
        file.open(path, std::ios::binary);
        if (!file) {
            return error{error_code::invalid_argument, path + ": cannot be read"};
        }
    }
    const std::string text = read_all(is_standard_input ? std::cin : file);
    const auto checked = document::parse(text, path);
    if (!checked.has_value()) {
        std::string message;
        for (const finding& one : checked.problems) {
            message += (message.empty() ? "" : "\n") + to_string(one);
        }
        return error{error_code::invalid_argument, message};
    }
    constexpr bool allow_exceptions = false;
    constexpr bool ignore_comments = true;
    auto patch = nlohmann::json::parse(text, nullptr, allow_exceptions, ignore_comments);
    if (!patch.is_object()) {
        return error{error_code::invalid_argument, path + ":1:1: a patch must be an object"};
    }
    return patch;
}

} // namespace gypsumstep::ctl

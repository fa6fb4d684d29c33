#include "deflate.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace gypsumstep::edge {
namespace {

namespace zlib = boost::beast::zlib;

zlib::z_params parameters(const QByteArray& input, QByteArray& output)
{
    zlib::z_params parameters;
    parameters.next_in = input.constData();
    parameters.avail_in = static_cast<std::size_t>(input.size());
    parameters.next_out = output.data();
    parameters.avail_out = static_cast<std::size_t>(output.size());
    return parameters;
}

} // namespace

QByteArray deflate(const QByteArray& bytes)
{
    zlib::deflate_stream stream;
    QByteArray compressed{
        static_cast<qsizetype>(stream.upper_bound(static_cast<std::size_t>(bytes.size()))), '\0'};
    zlib::z_params progress = parameters(bytes, compressed);
    boost::system::error_code outcome;
    stream.write(progress, zlib::Flush::finish, outcome);
    compressed.truncate(static_cast<qsizetype>(progress.total_out));
    return compressed;
}

std::optional<QByteArray> inflate(const QByteArray& compressed, qsizetype size)
{
    zlib::inflate_stream stream;
    QByteArray bytes{size, '\0'};
    zlib::z_params progress = parameters(compressed, bytes);
    boost::system::error_code outcome;
    stream.write(progress, zlib::Flush::finish, outcome);
    if (outcome != zlib::error::end_of_stream || progress.avail_out != 0) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace gypsumstep::edge

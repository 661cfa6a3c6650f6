#include "gateway/relay/compression.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace samphireway::gateway {

namespace {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

constexpr std::size_t inflate_step = 64U << 10U;

} // namespace

std::string deflate_bytes(std::string_view bytes)
{
    zlib::deflate_stream stream;
    std::string compressed(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params parameters;
    parameters.next_in = bytes.data();
    parameters.avail_in = bytes.size();
    parameters.next_out = compressed.data();
    parameters.avail_out = compressed.size();
    error_code finished; // The output is large enough, so the stream always ends with `end_of_stream`.
    stream.write(parameters, zlib::Flush::finish, finished);
    compressed.resize(parameters.total_out);
    return compressed;
}

core::result<std::string> inflate_bytes(std::string_view compressed, std::size_t maximum_size)
{
    zlib::inflate_stream stream;
    zlib::z_params parameters;
    parameters.next_in = compressed.data();
    parameters.avail_in = compressed.size();
    std::string bytes;
    error_code failure;
    while (failure != zlib::error::end_of_stream) {
        const std::size_t size = bytes.size();
        if (size >= maximum_size) {
            return core::failure(core::error_code::invalid_argument, "the decompressed message is too large");
        }
        bytes.resize(std::min(size + inflate_step, maximum_size));
        parameters.next_out = bytes.data() + size;
        parameters.avail_out = bytes.size() - size;
        stream.write(parameters, zlib::Flush::sync, failure);
        bytes.resize(bytes.size() - parameters.avail_out);
        const bool has_progress = bytes.size() > size;
        if (failure && failure != zlib::error::end_of_stream &&
            !(failure == zlib::error::need_buffers && has_progress)) {
            return core::failure(core::error_code::invalid_argument,
                                 "the compressed message is malformed: " + failure.message());
        }
        if (!failure && !has_progress) {
            return core::failure(core::error_code::invalid_argument, "the compressed message is incomplete");
        }
    }
    return bytes;
}

} // namespace samphireway::gateway

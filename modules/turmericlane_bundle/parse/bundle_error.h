#pragma once

#include <string>

namespace turmericlane
{

/** Why a bundle, envelope or delta could not be read.

    @see parse_bundle, parse_envelope
*/
struct bundle_error
{
    /** Name of the file or source that was read. */
    std::string file;
    /** JSON pointer (RFC 6901) to the value at fault; empty for the whole
        document. */
    std::string path;
    /** What is wrong, with the accepted range where there is one. */
    std::string detail;

    /** "file: path: detail" on one line; an empty path is left out. */
    std::string to_string() const;
};

} // namespace turmericlane

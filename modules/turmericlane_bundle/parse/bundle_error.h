#pragma once

#include <string>

namespace turmericlane
{

/** Describes why a bundle, envelope or delta could not be read.

    @see parse_bundle, parse_envelope
*/
struct bundle_error
{
    /** Name of the file or source that was read. */
    std::string file;
    /** JSON pointer (RFC 6901) to the faulty value; empty for the whole
        document. */
    std::string path;
    /** Description of the fault, with the accepted range if there is one. */
    std::string detail;

    /** Returns "file: path: detail" on one line, without an empty path. */
    std::string to_string() const;
};

} // namespace turmericlane

#pragma once

/** @file
    Module bundle: the signed, versioned configuration.

    Dependencies: core, nlohmann_json, libsodium.
    It must not depend on sockets, threads or the handling of searches.
*/

#include "change/bundle_delta.h"
#include "change/bundle_diff.h"
#include "model/bundle.h"
#include "parse/bundle_error.h"
#include "parse/document.h"
#include "parse/parse_bundle.h"
#include "sign/envelope.h"
#include "sign/hex.h"
#include "sign/key_file.h"
#include "sign/keys.h"
#include "sign/secret_key.h"
#include "sign/trusted_keys.h"
#include "version/version_listener.h"
#include "version/version_store.h"

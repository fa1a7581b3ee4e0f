#pragma once

/** @file
    Module wire: messages between instances, their frames, and the
    authentication of a session.

    Dependencies: core, decisions (search messages), state (bookings, membership
    and store messages), FlatBuffers, libsodium.
    It must not depend on sockets, threads, clocks or the handling of messages.
*/

#include "frame/frame_decoder.h"
#include "frame/frame_encoder.h"
#include "frame/frame_header.h"
#include "messages/message_decoder.h"
#include "messages/message_encoder.h"
#include "messages/peer_messages.h"
#include "session/session_authenticator.h"
#include "session/session_keys.h"

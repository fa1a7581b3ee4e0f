#pragma once

/** @file
    Module wire: messages between instances, their frames, and the
    authentication of a session.

    Dependencies: core, decisions (the structs of searches), FlatBuffers,
    libsodium.
    It must not know sockets, threads, clocks or what a message causes.
*/

#include "frame/frame_decoder.h"
#include "frame/frame_encoder.h"
#include "frame/frame_header.h"
#include "messages/message_decoder.h"
#include "messages/message_encoder.h"
#include "messages/peer_messages.h"
#include "session/session_authenticator.h"
#include "session/session_keys.h"

/** @file wire_codec.cc Holds the codec of the binary. */
#include "transport/gateway/wire_codec.h"

namespace gv {
namespace {

const WireCodec*& Holder() {
  static const WireCodec* codec = nullptr;
  return codec;
}

}  // namespace

void SetWireCodec(const WireCodec* codec) { Holder() = codec; }

const WireCodec* GetWireCodec() { return Holder(); }

}  // namespace gv

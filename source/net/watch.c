#include "watch.h"

#include <stdlib.h>
#include <unistd.h>

#include <libwebsockets.h>

struct msp_watch {
	struct lws *wsi;
	void (*on_readable)(void *ctx);
	void *ctx;
};

int
msp_handle_watch_event(struct lws *wsi, enum lws_callback_reasons reason,
    void *user, void *in, size_t len)
{
	msp_watch_t *watch;

	(void)user;
	(void)in;
	(void)len;
	switch (reason) {
	case LWS_CALLBACK_RAW_RX_FILE:
		watch = lws_get_opaque_user_data(wsi);
		if (watch == NULL)
			return -1;
		watch->on_readable(watch->ctx);
		break;
	case LWS_CALLBACK_RAW_CLOSE_FILE:
		watch = lws_get_opaque_user_data(wsi);
		if (watch != NULL)
			watch->wsi = NULL;
		break;
	default:
		break;
	}
	return 0;
}

msp_watch_t *
msp_new_watch(
    msp_loop_t *loop, int fd, void (*on_readable)(void *ctx), void *ctx)
{
	lws_adopt_desc_t desc = {
	    .vh = msp_loop_vhost(loop),
	    .type = LWS_ADOPT_RAW_FILE_DESC,
	    .vh_prot_name = MSP_WATCH_PROTOCOL,
	};
	msp_watch_t *watch = calloc(1, sizeof(*watch));

	if (watch == NULL) {
		msp_fail(MSP_E_NO_MEMORY, "no memory for a watch");
		close(fd);
		return NULL;
	}
	watch->on_readable = on_readable;
	watch->ctx = ctx;
	desc.opaque = watch;
	desc.fd.filefd = fd;
	watch->wsi = lws_adopt_descriptor_vhost_via_info(&desc);
	if (watch->wsi == NULL) {
		msp_fail(MSP_E_IO, "cannot add a descriptor to the event loop");
		free(watch);
		return NULL;
	}
	return watch;
}

void
msp_drop_watch(msp_watch_t *watch)
{
	if (watch == NULL)
		return;
	if (watch->wsi != NULL) {
		lws_set_opaque_user_data(watch->wsi, NULL);
		lws_set_timeout(watch->wsi, 1, LWS_TO_KILL_ASYNC);
	}
	free(watch);
}

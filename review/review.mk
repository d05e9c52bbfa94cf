# Builds the cases of the review:
# make -f Makefile -f review/review.mk BUILD=target review-cases
REVIEW = $(patsubst review/%/case.c,$(BUILD)/review-%,$(wildcard review/*/case.c))

$(BUILD)/review/%.o: CFLAGS_ALL += $(CPPFLAGS_TEST)

$(BUILD)/review-%: $(BUILD)/review/%/case.o $(call obj,review/common/rig.c \
	$(EDGE_SHARED) $(EDGE_STANDINS) standin/http.c)
	$(CC) -o $@ $^ $(LIBS)

review-cases: $(REVIEW)
.PHONY: review-cases
